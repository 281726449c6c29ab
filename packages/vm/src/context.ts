/** Dependencies of the process of an entry vm. */

import type {
	DataCentreId, Failure, Instant, RegionId, Result, TargetId, VmId, Runtime,
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
	/** Region of this vm; `undefined` if it is that of its data centre. */
	region: RegionId | undefined;
	/** Regions of the data centres of the fleet. */
	regions: ReadonlyMap<DataCentreId, RegionId>;
	/** Address at which other vms reach this one. */
	host: string;
	port: number;
	/** Processor capacity, in cores of standard speed; work is distributed in proportion to it. */
	capacity: number;
	/** Time within which a change by an operator must be active at every vm, in milliseconds. */
	configurationApplyMs: number;
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
	/** Key prefix of the store entries that operators write: the configuration and the evacuations. */
	operatorPrefix: string;
	/** Store key of the operators' configuration, under `operatorPrefix`. */
	configurationKey: string;
	/** Key prefix of the store entries of targets. */
	targetPrefix: string;
	parseConfiguration: ParseConfiguration;
	parseTarget: (entry: StoreEntry) => Result<RegisteredTarget, DocumentFailure>;
	/** Parses the key of an entry that operators write; returns the data centre that it evacuates, or `undefined` if it evacuates none. */
	parseEvacuation: (key: string) => DataCentreId | undefined;
	/** Returns the time after which nothing reaches the targets of an evacuated data centre any longer, in milliseconds. */
	getEvacuationMs: () => number;
	/** Returns what a cold target may receive in any second beyond its configured requests: the factor `tolerance`, and `slack` requests more. */
	getColdBounds: () => Readonly<{tolerance: number; slack: number}>;
	/** Returns for how long a target accepts new work after it has announced that it leaves, in milliseconds. */
	getTargetDrainMs: () => number;
	/** Whether a target that was replaced as primary refuses work at once; otherwise the appointment recorded in the store decides which target leads. */
	areTargetsSelfFencing: boolean;
	dialTarget: DialTarget;
	/** Checks that targets can be told a name. */
	checkName: (name: string) => Result<unknown, Failure>;
	/** Budget of statements in progress and frames between vms. */
	workBudget: ByteBudget;
	readStatus: ReadStatus;
	/** Asks a target to become the primary of its database, for the holder of the coordinator role and under its fencing token. */
	requestPromotion: (target: RegisteredTarget, holder: VmId, fencingToken: number) => Promise<PromotionOutcome>;
}>;

/** Finds a target of any database; returns `undefined` if it is unknown. */
export type FindTarget = (id: TargetId) => Target | undefined;
