/** Dependencies of the process of an entry vm. */

import type {
	DataCentreId, Instant, Result, TargetId, VmId, Runtime,
} from '@guavapitch/core';
import type {ByteBudget} from '@guavapitch/callers';
import type {FeedSource, StoreEntry} from '@guavapitch/feed';
import type {
	DialTarget, PromotionOutcome, ReadStatus, RegisteredTarget, Target,
} from '@guavapitch/database-owners';
import type {RoleStore} from '@guavapitch/roles';
import type {Emit, Metrics} from '@guavapitch/telemetry';
import type {DocumentFailure, ParseConfiguration} from './configuration.js';

/** Identity, location and capacity of a vm. */
export type VmSettings = Readonly<{
	vm: VmId;
	/** Identifier of this run of the process. */
	run: string;
	dataCentre: DataCentreId;
	/** Number of data centres in the fleet. */
	dataCentreCount: number;
	/** Address at which other vms reach this one. */
	host: string;
	port: number;
	/** Processor capacity, in cores of standard speed; work is distributed in proportion to it. */
	capacity: number;
}>;

/** Functions, store keys and settings that the process is given. */
export type VmContext = Readonly<{
	runtime: Runtime;
	/** Reads the suspension clock, which keeps counting while the process is suspended. */
	readSuspensionClock: () => Instant;
	settings: VmSettings;
	emit: Emit;
	metrics: Metrics;
	source: FeedSource;
	store: RoleStore;
	/** Store key of the operators' configuration. */
	configurationKey: string;
	/** Key prefix of the store entries of targets. */
	targetPrefix: string;
	parseConfiguration: ParseConfiguration;
	parseTarget: (entry: StoreEntry) => Result<RegisteredTarget, DocumentFailure>;
	/** Returns for how long a target accepts new work after it has announced that it leaves, in milliseconds. */
	getTargetDrainMs: () => number;
	/** Whether a target that was replaced as primary refuses work at once; otherwise the appointment recorded in the store decides which target leads. */
	areTargetsSelfFencing: boolean;
	dialTarget: DialTarget;
	/** Budget of statements in progress and frames between vms. */
	workBudget: ByteBudget;
	readStatus: ReadStatus;
	/** Asks a target to become the primary of its database, for the holder of the coordinator role and under its fencing token. */
	requestPromotion: (target: RegisteredTarget, holder: VmId, fencingToken: number) => Promise<PromotionOutcome>;
}>;

/** Finds a target of any database; returns `undefined` if it is unknown. */
export type FindTarget = (id: TargetId) => Target | undefined;
