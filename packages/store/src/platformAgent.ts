import {Agent} from 'undici';

/**
 * The agent of calls to the platform's services. Each has a connection of its own: kept ones may
 * fall silent together, and each would cost a time limit.
 */
export const platformAgent = new Agent({pipelining: 0});
