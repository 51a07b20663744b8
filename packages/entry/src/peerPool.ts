import type {EntrySettings} from '@lilacledge/config';
import {MemberRole} from '@lilacledge/store';
import type {Member} from '@lilacledge/store';
import {rendezvous} from '@lilacledge/shared';
import type {EntryPorts} from './entryPorts.js';
import {SidecarPeer} from './sidecarPeer.js';
import type {PeerEvents} from './sidecarPeer.js';

/**
 * Share of the known peers that a new membership list must keep; missing peers
 * without an open link don't count as lost.
 */
const MIN_REMAINING_SHARE = 0.5;

/** Pools up to this size accept any list that names at least one sidecar. */
const SMALL_POOL_SIZE = 3;

/**
 * The sidecars that this entry knows. The membership list adds and removes
 * them; whether a sidecar takes new work is reported over its link.
 */
export class PeerPool {
  private readonly peers = new Map<string, SidecarPeer>();
  private members: readonly Member[] = [];
  /**
   * Instance ids of all entries, this one included; empty until a list is
   * accepted.
   */
  entryIds: readonly string[] = [];

  constructor(
    private readonly ports: EntryPorts,
    private readonly settings: EntrySettings,
    private readonly events: PeerEvents,
  ) {}

  all(): SidecarPeer[] {
    return [...this.peers.values()];
  }

  ofService(service: string): SidecarPeer[] {
    return this.all().filter((peer) => peer.member.service === service);
  }

  /**
   * Finds the peer of an instance. If the instance is listed but has no peer,
   * adds one, which starts to connect.
   */
  find(instanceId: string): SidecarPeer | undefined {
    const known = this.peers.get(instanceId);
    if (known !== undefined) return known;
    const member = this.members.find(
      (candidate) =>
        candidate.instanceId === instanceId &&
        candidate.role === MemberRole.SIDECAR,
    );
    return member === undefined ? undefined : this.add(member);
  }

  /** Applies a new membership list, unless it looks faulty. */
  update(members: readonly Member[]): void {
    const sidecars = members.filter(
      (member) => member.role === MemberRole.SIDECAR,
    );
    if (this.isImplausible(sidecars)) {
      this.ports.logger
        .part('members')
        .warn('Membership list rejected: too many sidecars are missing.', {
          listed: sidecars.length,
          known: this.peers.size,
        });
      return;
    }
    if (isSameList(this.members, members)) return;
    this.members = members;
    const entries = members.filter(
      (member) => member.role === MemberRole.ENTRY,
    );
    const ids = new Set(entries.map((entry) => entry.instanceId));
    ids.add(this.settings.instanceId);
    this.entryIds = [...ids];
    this.reconcile(this.sidecarsToLink(sidecars));
    this.events.onChange();
  }

  stop(): void {
    for (const peer of this.peers.values()) peer.stop();
    this.peers.clear();
  }

  /**
   * A list that drops most of the known peers at once is a fault of the list
   * if their links are still open.
   */
  private isImplausible(sidecars: readonly Member[]): boolean {
    const known = this.peers.size;
    if (known <= SMALL_POOL_SIZE && sidecars.length > 0) return false;
    const listed = new Set(sidecars.map((sidecar) => sidecar.instanceId));
    const missing = this.all().filter(
      (peer) => !listed.has(peer.member.instanceId) && peer.isOpen,
    );
    return missing.length > known * (1 - MIN_REMAINING_SHARE);
  }

  /**
   * Selects the sidecars to link to: of each service, those that rank first for
   * this entry and those that this entry is assigned to, so that no sidecar is
   * left without links.
   */
  private sidecarsToLink(sidecars: readonly Member[]): Member[] {
    const byService = new Map<string, Member[]>();
    for (const sidecar of sidecars) {
      const ofService = byService.get(sidecar.service) ?? [];
      ofService.push(sidecar);
      byService.set(sidecar.service, ofService);
    }
    return [...byService.values()].flatMap((ofService) =>
      this.chooseOfService(ofService),
    );
  }

  /**
   * True if this entry is among the `linksPerSidecar` that rank first for the
   * sidecar.
   */
  private isAssignedTo(sidecarId: string): boolean {
    const {instanceId, linksPerSidecar} = this.settings;
    if (this.entryIds.length <= linksPerSidecar) return true;
    const ranking = rendezvous(sidecarId, this.entryIds);
    return ranking.slice(0, linksPerSidecar).includes(instanceId);
  }

  private chooseOfService(sidecars: readonly Member[]): Member[] {
    const {instanceId, linksPerService} = this.settings;
    if (sidecars.length <= linksPerService) return [...sidecars];
    const ids = sidecars.map((sidecar) => sidecar.instanceId);
    const chosenIds = new Set(
      rendezvous(instanceId, ids).slice(0, linksPerService),
    );
    return sidecars.filter(
      (sidecar) =>
        chosenIds.has(sidecar.instanceId) ||
        this.isAssignedTo(sidecar.instanceId),
    );
  }

  private reconcile(sidecars: readonly Member[]): void {
    const wanted = new Map(
      sidecars.map((sidecar) => [sidecar.instanceId, sidecar]),
    );
    for (const [id, peer] of this.peers) {
      const member = wanted.get(id);
      if (member !== undefined && isSameAddress(member, peer.member)) continue;
      // An unlisted peer with calls in progress is kept until they have ended.
      peer.isListed = false;
      if (peer.outstanding > 0 && member === undefined) continue;
      peer.stop();
      this.peers.delete(id);
    }
    for (const sidecar of sidecars) {
      const peer = this.peers.get(sidecar.instanceId) ?? this.add(sidecar);
      peer.isListed = !sidecar.leaving;
    }
  }

  private add(member: Member): SidecarPeer {
    const peer = new SidecarPeer(
      member,
      this.ports,
      this.settings,
      this.events,
    );
    this.peers.set(member.instanceId, peer);
    return peer;
  }
}

function isSameList(a: readonly Member[], b: readonly Member[]): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function isSameAddress(a: Member, b: Member): boolean {
  return a.host === b.host && a.port === b.port && a.service === b.service;
}
