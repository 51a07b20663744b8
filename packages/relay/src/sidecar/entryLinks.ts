import {formatAddress, parseAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import type {PeerMesh} from '../peers/peerMesh.js';
import type {Members} from '../peers/peerMessages.js';

/**
 * Chooses the entries that a sidecar links to, from the membership updates of entries. In a
 * large fleet it keeps only links to entries of its own zone, once it knows any.
 */
export class EntryLinks {
  /** Zones of the known entries, by address. */
  private readonly zones = new Map<string, string>();
  /** Addresses to link to, including seeds whose entry is not known yet. */
  private readonly dialled = new Map<string, EndpointAddress>();

  constructor(
    private readonly zone: string,
    private readonly mesh: Pick<PeerMesh, 'dial' | 'drop' | 'release'>,
  ) {}

  /** Keeps a link to an entry until a membership update shows closer ones. */
  dial(address: EndpointAddress): void {
    this.dialled.set(formatAddress(address), address);
    this.mesh.dial(address);
  }

  /** Applies an entry's update of added and removed entries. */
  updateMembers({entries, gone, isZoned}: Members): void {
    for (const address of gone) this.forget(address);
    for (const {address, zone} of entries) this.zones.set(address, zone);
    const isOwnZoneOnly = isZoned && this.knowsEntryOfOwnZone;
    for (const [name, address] of [...this.dialled]) {
      if (!isOwnZoneOnly || this.zones.get(name) === this.zone) continue;
      this.dialled.delete(name);
      this.mesh.drop(address);
    }
    for (const [name, zone] of this.zones) {
      const address = parseAddress(name);
      if (address === undefined) continue;
      if (!isOwnZoneOnly || zone === this.zone) this.dial(address);
    }
  }

  /**
   * Stops dialling an entry whose registration is gone. An open link stays until it closes:
   * the registration may be gone only because its lease expired.
   */
  private forget(name: string): void {
    this.zones.delete(name);
    this.dialled.delete(name);
    const address = parseAddress(name);
    if (address !== undefined) this.mesh.release(address);
  }

  private get knowsEntryOfOwnZone(): boolean {
    return [...this.zones.values()].includes(this.zone);
  }
}
