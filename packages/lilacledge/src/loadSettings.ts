import {readFileSync} from 'node:fs';
import {
  entrySettingsSchema,
  formatIssues,
  parseDocument,
  sidecarSettingsSchema,
} from '@lilacledge/config';
import type {EntrySettings, SidecarSettings} from '@lilacledge/config';

interface SettingsByRole {
  readonly entry: EntrySettings;
  readonly sidecar: SidecarSettings;
}

/**
 * Reads and validates the settings file of one role. Throws an error that names
 * the file, the line and the field, but contains no value.
 */
export function loadSettings<R extends keyof SettingsByRole>(
  file: string,
  role: R,
): SettingsByRole[R] {
  const text = readFileSync(file, 'utf8');
  const parsed =
    role === 'entry'
      ? parseDocument(text, entrySettingsSchema)
      : parseDocument(text, sidecarSettingsSchema);
  if (!parsed.ok) throw new Error(formatIssues(file, parsed.issues));
  return parsed.value as SettingsByRole[R];
}
