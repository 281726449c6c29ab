/** Key prefixes that a vm's change feed covers, and how often each of them is confirmed. All bounds for operators' entries are fractions of the time within which their changes must be active. */

import type {FeedPrefix} from '@guavapitch/feed';
import {STORE_PREFIX} from './cluster-view.js';
import type {VmContext, VmSettings} from './context.js';

/** Maximum duration of one watch of operators' entries, and maximum time that a relay holds a follower's request, in milliseconds. */
const MAX_OPERATOR_WATCH_MS = 850;
const MAX_FOLLOWER_WAIT_MS = 800;
/** Maximum duration of one watch of members and roles, in milliseconds. */
const MEMBER_WATCH_MS = 5000;
/** Pause between watches of members and roles, in milliseconds: when a whole fleet starts, each joining vm would otherwise end every watch. */
const MEMBER_PAUSE_MS = 100;
/** Maximum duration of one watch of targets, in milliseconds. */
const TARGET_WATCH_MS = 5000;
/** Pause between watches of targets, in milliseconds: their heartbeats change the entries many times a second. */
const TARGET_PAUSE_MS = 1200;

/** Fraction of the time for a change that one watch, and each of two relays, may add: entries then are usually at most a third of that time old, two watches and two relays. */
const HOP_FRACTION = 1 / 12;
/** Fraction of the time for a change after which a vm reads the entries itself; the rest of the time allows for two attempts. */
const MAX_AGE_FRACTION = 0.5;

/** Computes how long a relay may hold a follower's request, in milliseconds, from the time within which changes must be active. */
export const computeFollowerWaitMs = (configurationApplyMs: number): number => Math.min(MAX_FOLLOWER_WAIT_MS, configurationApplyMs * HOP_FRACTION);

/** Creates the prefixes of a vm's change feed. */
export const createFeedPrefixes = ({
	operatorPrefix, targetPrefix, settings: {configurationApplyMs},
}: Pick<VmContext, 'operatorPrefix' | 'targetPrefix'> & Readonly<{settings: Pick<VmSettings, 'configurationApplyMs'>}>): readonly FeedPrefix[] => [
	{
		prefix: operatorPrefix, waitMs: Math.min(MAX_OPERATOR_WATCH_MS, configurationApplyMs * HOP_FRACTION), pauseMs: 0, getMaxAgeMs: () => configurationApplyMs * MAX_AGE_FRACTION,
	},
	{prefix: STORE_PREFIX, waitMs: MEMBER_WATCH_MS, pauseMs: MEMBER_PAUSE_MS},
	// Without changes, a watch of targets confirms them every few seconds only, so a maximum age would send every vm to the store.
	{prefix: targetPrefix, waitMs: TARGET_WATCH_MS, pauseMs: TARGET_PAUSE_MS},
];
