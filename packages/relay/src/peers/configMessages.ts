/** @fileoverview Messages with which processes announce and copy configurations. */

/** Announces the version of the sender's active configuration. */
export interface ConfigNotice {
  readonly type: 'configNotice';
  readonly version: number;
}

/** Requests the receiver's active configuration. */
export interface ConfigRequest {
  readonly type: 'configRequest';
}

/** A configuration in the store's encoding. */
export interface ConfigBody {
  readonly type: 'configBody';
  readonly bytes: Uint8Array;
}

/** Requests a part of a version; at the first byte the receiver may send its newer version. */
export interface ConfigPartRequest {
  readonly type: 'configPartRequest';
  readonly version: number;
  readonly offset: number;
}

/** A part of a configuration in the store's encoding. */
export interface ConfigPart {
  readonly type: 'configPart';
  readonly version: number;
  readonly offset: number;
  /** Size of the whole version. */
  readonly totalBytes: number;
  readonly bytes: Uint8Array;
}
