/** Key prefixes that a vm's change feed covers, and how often each of them is watched. */

import type {FeedPrefix} from '@guavapitch/feed';
import {STORE_PREFIX} from './cluster-view.js';
import type {VmContext} from './context.js';

/** Maximum duration of one watch of the configuration and the evacuations, in milliseconds: data count from when the watch was sent, and must not become stale before the next one ends. */
const OPERATOR_WATCH_MS = 850;
/** Maximum duration of one watch of members and roles, in milliseconds. */
const MEMBER_WATCH_MS = 5000;
/** Pause between watches of members and roles, in milliseconds: when a whole fleet starts, each joining vm would otherwise end every watch. */
const MEMBER_PAUSE_MS = 100;
/** Maximum duration of one watch of targets, in milliseconds. */
const TARGET_WATCH_MS = 5000;
/** Pause between watches of targets, in milliseconds: their heartbeats change the entries many times a second. */
const TARGET_PAUSE_MS = 1200;
/** Creates the prefixes of a vm's change feed. */
export const createFeedPrefixes = ({operatorPrefix, targetPrefix}: Pick<VmContext, 'operatorPrefix' | 'targetPrefix'>): readonly FeedPrefix[] => [
	{prefix: operatorPrefix, waitMs: OPERATOR_WATCH_MS, pauseMs: 0},
	{prefix: STORE_PREFIX, waitMs: MEMBER_WATCH_MS, pauseMs: MEMBER_PAUSE_MS},
	{prefix: targetPrefix, waitMs: TARGET_WATCH_MS, pauseMs: TARGET_PAUSE_MS},
];
