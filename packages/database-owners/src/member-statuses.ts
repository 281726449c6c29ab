/** Status queries to the members of a synchronously replicated group, wherever they were last seen. */

import {
	createDeadline, isPast, type Result,
} from '@guavapitch/core';
import {comparePositions, type LogPosition} from '@guavapitch/sessions';
import type {StatusFailure} from './database-owner.js';
import {STATUS_TIMEOUT_MS, type FailoverCoordinatorContext} from './promotions.js';
import type {TargetReport} from './replication-groups.js';
import type {Command, RegisteredTarget, TargetStatus} from './targets.js';

/** A member and the status that it reported. */
export type MemberReport = TargetReport<RegisteredTarget>;

/** A member and the outcome of a query to it. */
export type MemberResult = Readonly<{target: RegisteredTarget; result: Result<TargetStatus, StatusFailure>}>;

/** How long a replica may take to receive what another target has, in milliseconds; replication usually takes tens of milliseconds. */
const CATCH_UP_TIMEOUT_MS = 1000;
const CATCH_UP_CHECK_INTERVAL_MS = 20;

/** Queries the status of members, after running `precedingCommand` if given. */
export const requestMemberStatuses = async ({runtime, owner}: FailoverCoordinatorContext, members: readonly RegisteredTarget[], precedingCommand?: Command): Promise<readonly MemberResult[]> => {
	const deadline = createDeadline(runtime.now(), STATUS_TIMEOUT_MS);
	return Promise.all(members.map(async target => ({target, result: await owner.queryStatus(target, deadline, precedingCommand)})));
};

/** Returns the reports of the members that responded. */
export const filterReports = (results: readonly MemberResult[]): readonly MemberReport[] => results.flatMap(({target, result}) => result.ok ? [{target, status: result.val}] : []);

/** Waits until one of the members has received the log up to a position, or the time is up; returns the last reports. */
export const waitForCatchUp = async (context: FailoverCoordinatorContext, members: readonly RegisteredTarget[], position: LogPosition): Promise<readonly MemberReport[]> => {
	const {runtime} = context;
	const deadline = createDeadline(runtime.now(), CATCH_UP_TIMEOUT_MS);
	let reports = filterReports(await requestMemberStatuses(context, members));
	while (members.length > 0 && !isPast(deadline, runtime.now()) && !reports.some(({status}) => comparePositions(status.received, position) >= 0)) {
		await runtime.sleep(CATCH_UP_CHECK_INTERVAL_MS);
		reports = filterReports(await requestMemberStatuses(context, members));
	}

	return reports;
};
