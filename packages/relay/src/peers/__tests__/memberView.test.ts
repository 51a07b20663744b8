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
  it('tells of an entry that is new or has moved, once', () => {
    expect(view.noteRegistered(member('a'))).toBe(true);
    expect(view.noteRegistered(member('a'))).toBe(false);
    expect(view.noteRegistered(member('a', 81))).toBe(true);
  });

  describe('when a registration lapses', () => {
    it('drops an entry that nothing else shows', () => {
      view.noteRegistered(member('a'));
      expect(view.noteLapsed('a')).toBe(true);
      expect(view.size).toBe(0);
    });

    it('keeps an entry with an open link, and nothing changes', () => {
      linked.add('a');
      view.noteRegistered(member('a'));
      expect(view.noteLapsed('a')).toBe(false);
      expect(view.noteRegistered(member('a'))).toBe(false);
      expect(view.size).toBe(1);
    });

    it('drops it when the link has ended too', () => {
      linked.add('a');
      view.noteRegistered(member('a'));
      view.noteLapsed('a');
      linked.clear();
      expect(view.noteUnlinked('a')).toBe(true);
      expect(view.size).toBe(0);
    });
  });

  it('keeps a registered entry whose link ended', () => {
    view.noteRegistered(member('a'));
    expect(view.noteUnlinked('a')).toBe(false);
    expect(view.size).toBe(1);
  });

  it('knows nothing of a name that never registered', () => {
    expect(view.noteLapsed('x')).toBe(false);
    expect(view.noteUnlinked('x')).toBe(false);
  });
});
