import {beforeEach, describe, expect, it} from 'vitest';
import {MemberView} from '../memberView.js';
import type {Member} from '../membership.js';

let linked: Set<string>;
let view: MemberView;

beforeEach(() => {
  linked = new Set();
  view = new MemberView((instance) => linked.has(instance));
});

function member(instance: string, port = 80): Member {
  return {instance, address: {host: '10.0.0.1', port}, zone: 'north'};
}

describe('MemberView', () => {
  it('reports an entry that is new or has a new address as a change, once', () => {
    expect(view.noteRegistered(member('a'))).toBe(true);
    expect(view.noteRegistered(member('a'))).toBe(false);
    expect(view.noteRegistered(member('a', 81))).toBe(true);
  });

  describe('when a registration expires', () => {
    it('removes an entry without an open link', () => {
      view.noteRegistered(member('a'));
      expect(view.noteExpired('a')).toBe(true);
      expect(view.size).toBe(0);
    });

    it('keeps an entry with an open link and reports no change', () => {
      linked.add('a');
      view.noteRegistered(member('a'));
      expect(view.noteExpired('a')).toBe(false);
      expect(view.noteRegistered(member('a'))).toBe(false);
      expect(view.size).toBe(1);
    });

    it('removes the entry once the link closes too', () => {
      linked.add('a');
      view.noteRegistered(member('a'));
      view.noteExpired('a');
      linked.clear();
      expect(view.noteLinkClosed('a')).toBe(true);
      expect(view.size).toBe(0);
    });
  });

  it('keeps a registered entry whose link closed', () => {
    view.noteRegistered(member('a'));
    expect(view.noteLinkClosed('a')).toBe(false);
    expect(view.size).toBe(1);
  });

  it('ignores an entry that never registered', () => {
    expect(view.noteExpired('x')).toBe(false);
    expect(view.noteLinkClosed('x')).toBe(false);
  });
});
