/** Handlers of the methods that peers and operators call on this process. */

import {
	createDeadline, type DatabaseId, type Scope, type Stream, type VmId, type Runtime,
} from '@guavapitch/core';
import type {TargetConnection} from '@guavapitch/back-postgres';
import type {RelayService, SyncRequest} from '@guavapitch/configuration';
import {
	MAX_GRANT_VALIDITY_MS, type GrantRegistry, type GrantHolder, type Permissions,
} from '@guavapitch/failover';
import {isTokenRequest} from '@guavapitch/limits';
import type {PingRequest, PingResponse} from '@guavapitch/membership';
import type {PeerHandlers} from '@guavapitch/peer-protocol';
import {serveRequest, type OwnerContext, type OwnerStream} from '@guavapitch/requests';
import type {TakeoverPromises, TakeoverPromiseRequest} from '@guavapitch/roles';
import type {RequestHeader} from '@guavapitch/sessions';
import type {EventRecord} from '@guavapitch/telemetry';
import type {CallVm, ClusterView} from './cluster-view.js';
import type {QuotaAllocators} from './quota-allocators.js';
import type {FailoverCoordinators} from './failover-coordinators.js';

/** Dependencies of the handlers. */
export type HandlersContext = Readonly<{
	runtime: Runtime;
	incarnation: string;
	scope: Scope;
	clusterView: ClusterView;
	callVm: CallVm;
	relayService: RelayService;
	coordinators: FailoverCoordinators;
	allocators: QuotaAllocators;
	grantRegistry: GrantRegistry;
	takeoverPromises: TakeoverPromises;
	ownerContext: OwnerContext<TargetConnection>;
	/** Returns the latest epoch of a slot that this process knows; 0 if it knows none. */
	getEpoch: (slot: string) => number;
	/** Tells whether this process has been in contact with the store recently. */
	isStoreReachable: () => boolean;
	/** Cancels a request that runs on a target of this process. */
	cancelLocally: (requestId: string) => void;
	/** Cancels the running request of a caller of this vm, identified by its cancel key. */
	cancelCaller: (processId: number, secret: number) => void;
	/** Returns the status for the operator. */
	getStatus: () => unknown;
	/** Explains how a request would be handled now. */
	explain: (request: unknown) => unknown;
	/** Lists the most recent events of this process. */
	listEvents: () => readonly EventRecord[];
}>;

const INDIRECT_PING_TIMEOUT_MS = 250;

/** Creates the handlers; the names of calls and streams are the method names on the wire. */
export const createHandlers = (context: HandlersContext): PeerHandlers => {
	const {clusterView} = context;

	const handlePing = async (ping: PingRequest): Promise<PingResponse> => {
		clusterView.members.applyUpdates(ping.news);
		if (ping.through) {
			const response = await context.callVm<PingResponse>(ping.through, 'ping', {news: []}, INDIRECT_PING_TIMEOUT_MS);
			return response.unwrap();
		}

		return {incarnation: context.incarnation, news: clusterView.members.chooseUpdates()};
	};

	return {
		calls: {
			async ping(body, from) {
				clusterView.members.recordResponse(from.vm as VmId, from.incarnation);
				return handlePing(body as PingRequest);
			},
			sync: async body => context.relayService.sync(body as SyncRequest),
			async grant(body) {
				const {database, holder} = body as Readonly<{database: DatabaseId; holder: GrantHolder}>;
				return context.coordinators.grant(database, holder) ?? null;
			},
			async revoke(body) {
				const {database, permissions, incarnation} = body as Readonly<{database: DatabaseId; permissions: Permissions; incarnation: string}>;
				if (incarnation === context.incarnation) {
					context.grantRegistry.revoke(database, permissions);
					// Writes that are already running may still be acknowledged, so the response waits until they have ended.
					if (permissions.writes && !permissions.acknowledgements) {
						await context.grantRegistry.waitUntilWritesEnd(database, createDeadline(context.runtime.now(), MAX_GRANT_VALIDITY_MS));
					}
				}

				return true;
			},
			allot: async body => (isTokenRequest(body) ? context.allocators.grantTokens(body) : undefined) ?? null,
			async promise(body) {
				const request = body as TakeoverPromiseRequest;
				return context.takeoverPromises.give(request, context.getEpoch(request.slot));
			},
			vouch: async () => context.isStoreReachable(),
			async cancel(body) {
				context.cancelLocally(body as string);
				return true;
			},
			async cancelCaller(body) {
				const {processId, secret} = body as Readonly<{processId: number; secret: number}>;
				context.cancelCaller(processId, secret);
				return true;
			},
			status: async () => context.getStatus(),
			explain: async body => context.explain(body),
			async events(body) {
				const {request} = body as Readonly<{request?: string}>;
				return context.listEvents().filter(event => request === undefined || event.fields.request === request);
			},
		},
		streams: {
			async request(header, stream: Stream<unknown, unknown>) {
				await serveRequest(context.ownerContext, header as RequestHeader, stream as OwnerStream);
			},
		},
	};
};
