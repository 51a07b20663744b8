import {formatAddress, parseAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import type {PeerMesh} from '../peers/peerMesh.js';
import type {Members} from '../peers/peerMessages.js';

/**
 * The entries that a sidecar links to, as entries tell of them. In a large fleet
 * these are those of its own zone; links to others are only a beginning.
 */
export class EntryLinks {
  /** Zones of the entries that are known, by address. */
  private readonly zones = new Map<string, string>();
  /** Addresses that are dialled, those of unknown entries too. */
  private readonly dialled = new Map<string, EndpointAddress>();

  constructor(
    private readonly zone: string,
    private readonly mesh: Pick<PeerMesh, 'dial' | 'drop' | 'release'>,
  ) {}

  /** Keeps a link to an entry until others are found to be nearer. */
  dial(address: EndpointAddress): void {
    this.dialled.set(formatAddress(address), address);
    this.mesh.dial(address);
  }

  /** An entry told of entries that came or went. */
  note({entries, gone, isZoned}: Members): void {
    for (const address of gone) this.forget(address);
    for (const {address, zone} of entries) this.zones.set(address, zone);
    const isNearOnly = isZoned && this.knowsNear;
    for (const [name, address] of [...this.dialled]) {
      if (!isNearOnly || this.zones.get(name) === this.zone) continue;
      this.dialled.delete(name);
      this.mesh.drop(address);
    }
    for (const [name, zone] of this.zones) {
      const address = parseAddress(name);
      if (address === undefined) continue;
      if (!isNearOnly || zone === this.zone) this.dial(address);
    }
  }

  /**
   * Its registration is gone, which a lapse of its lease may cause: a link that
   * works is no worse for it, and stays until it ends.
   */
  private forget(name: string): void {
    this.zones.delete(name);
    this.dialled.delete(name);
    const address = parseAddress(name);
    if (address !== undefined) this.mesh.release(address);
  }

  private get knowsNear(): boolean {
    return [...this.zones.values()].includes(this.zone);
  }
}
