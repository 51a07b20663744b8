import type {CancelTimer} from '@lilacledge/shared';
import type {EndpointAddress} from '../model/index.js';
import type {RelayContext} from '../requests/relayContext.js';
import {entriesToDial} from './linkPlan.js';
import type {MemberView} from './memberView.js';
import type {PeerMesh} from './peerMesh.js';

/**
 * Delay for batching changes of the members before links are planned: the store
 * delivers many at once.
 */
const PLAN_DELAY_MS = 100;

/**
 * How long a link to an entry is kept after it left the plan: entries often return to
 * it.
 */
const UNPLANNED_LINK_TTL_MS = 10_000;

/** Plans the links of an entry to other entries when the members of the fleet change. */
export class LinkPlanner {
  private cancelPlan: CancelTimer | undefined;
  /** True once links are planned from the members, instead of the seeds. */
  private hasPlannedLinks = false;

  constructor(
    private readonly context: RelayContext,
    private readonly mesh: PeerMesh,
    private readonly members: MemberView,
    /** Addresses whose links stay besides those to entries. */
    private readonly otherAddresses: () => readonly EndpointAddress[],
    /** Called after each plan. */
    private readonly planned: () => void,
  ) {}

  /** Plans the links soon, together with other changes. */
  schedule(): void {
    this.cancelPlan ??= this.context.clock.after(PLAN_DELAY_MS, () => {
      this.cancelPlan = undefined;
      this.planLinks();
      this.planned();
    });
  }

  stop(): void {
    this.cancelPlan?.();
  }

  private planLinks(): void {
    const {instanceName} = this.context.settings;
    const members = this.members.all;
    // Until the store has delivered other members, only the seeds are known.
    if (members.every(({instance}) => instance === instanceName)) return;
    const planned = entriesToDial(instanceName, members);
    this.mesh.retain(
      [...planned.map(({address}) => address), ...this.otherAddresses()],
      // Links to seeds close at once: every entry starts with them, and a seed cannot
      // carry the links of the whole fleet.
      this.hasPlannedLinks ? UNPLANNED_LINK_TTL_MS : 0,
    );
    this.hasPlannedLinks = true;
  }
}
