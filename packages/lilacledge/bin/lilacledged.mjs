#!/usr/bin/env node
// Tracked, so that an install before the first build can link it.
import '../dist/bundle/lilacledged.mjs';
