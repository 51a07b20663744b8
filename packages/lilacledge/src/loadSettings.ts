import {readFileSync} from 'node:fs';
import {
  entrySettingsSchema,
  formatIssues,
  parseDocument,
  sidecarSettingsSchema,
} from '@lilacledge/config';
import type {EntrySettings, SidecarSettings} from '@lilacledge/config';

interface SettingsOf {
  readonly entry: EntrySettings;
  readonly sidecar: SidecarSettings;
}

/**
 * Reads and checks the settings of one role. Throws an error that names the
 * file, the line and the field, and repeats no value.
 */
export function loadSettings<R extends keyof SettingsOf>(
  file: string,
  role: R,
): SettingsOf[R] {
  const text = readFileSync(file, 'utf8');
  const parsed =
    role === 'entry'
      ? parseDocument(text, entrySettingsSchema)
      : parseDocument(text, sidecarSettingsSchema);
  if (!parsed.ok) throw new Error(formatIssues(file, parsed.issues));
  return parsed.value as SettingsOf[R];
}
