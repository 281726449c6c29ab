/** What the process of an entry vm needs from its surroundings. */

import type {
	DataCentreId, Instant, Result, TargetId, VmId, World,
} from '@guavapitch/core';
import type {FeedSource, StoreEntry} from '@guavapitch/feed';
import type {
	DialTarget, PromotionOutcome, ReadStatus, Target,
} from '@guavapitch/homes';
import type {RoleStore} from '@guavapitch/roles';
import type {Emit, Metrics} from '@guavapitch/telemetry';
import type {DocumentFailure, ParseConfiguration} from './configuration.js';

/** Who the vm is, and where. */
export type VmSettings = Readonly<{
	vm: VmId;
	/** Identifier of this run of the process. */
	run: string;
	dataCentre: DataCentreId;
	/** Number of data centres of the fleet. */
	dataCentreCount: number;
	/** Address for the other vms. */
	host: string;
	port: number;
	/** Processor share. */
	capacity: number;
}>;

/** Functions and keys of the surroundings. */
export type VmContext = Readonly<{
	world: World;
	/** Reads the suspension clock. */
	readClock: () => Instant;
	settings: VmSettings;
	emit: Emit;
	metrics: Metrics;
	source: FeedSource;
	store: RoleStore;
	/** Key of the operators' rules. */
	configurationKey: string;
	/** Prefix of the entries of targets. */
	targetPrefix: string;
	parseConfiguration: ParseConfiguration;
	parseTarget: (entry: StoreEntry) => Result<Target, DocumentFailure>;
	dialTarget: DialTarget;
	readStatus: ReadStatus;
	/** Orders a target to lead its database. */
	requestPromotion: (target: Target, holder: VmId, fencingToken: number) => Promise<PromotionOutcome>;
}>;

/** Looks up a target of any database. */
export type FindTarget = (id: TargetId) => Target | undefined;
