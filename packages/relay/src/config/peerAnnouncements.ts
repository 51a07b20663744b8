import {Announcement} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';

/**
 * A version counts as announced earlier if that was this long before its activation: peers
 * that are so much faster also announce a newer version before it can arrive here.
 */
const MIN_LEAD_MS = 100;

/** Tracks which version of the configuration peers have announced. */
export class PeerAnnouncements {
  private newestVersion = 0;
  private firstAnnouncedMs = 0;

  constructor(private readonly clock: Clock) {}

  /** A peer has this version active. */
  note(version: number): void {
    if (version <= this.newestVersion) return;
    this.newestVersion = version;
    this.firstAnnouncedMs = this.clock.nowMs();
  }

  /** What peers have announced, compared to the version that is active here. */
  compareTo(activeVersion: number): Announcement {
    if (this.newestVersion > activeVersion) return Announcement.NEWER;
    const leadMs = this.clock.nowMs() - this.firstAnnouncedMs;
    return this.newestVersion === activeVersion && leadMs >= MIN_LEAD_MS
      ? Announcement.CURRENT
      : Announcement.NONE;
  }
}
