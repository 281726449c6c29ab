/** What this process answers to its peers. */

import {
	createDeadline, type DatabaseId, type Scope, type Stream, type VmId, type World,
} from '@guavapitch/core';
import type {TargetConnection} from '@guavapitch/back-postgres';
import type {RelayService, SyncRequest} from '@guavapitch/configuration';
import {
	MAX_GRANT_VALIDITY_MS, type GrantRegistry, type Holder, type Permissions,
} from '@guavapitch/failover';
import type {TokenRequest} from '@guavapitch/limits';
import type {PingRequest, PingResponse} from '@guavapitch/membership';
import type {PeerHandlers} from '@guavapitch/peer-protocol';
import {serveRequest, type OwnerContext, type OwnerStream} from '@guavapitch/requests';
import type {TakeoverPromises, TakeoverPromiseRequest} from '@guavapitch/roles';
import type {RequestHeader} from '@guavapitch/sessions';
import type {EventRecord} from '@guavapitch/telemetry';
import type {CallVm, Fleet} from './fleet.js';
import type {Keepers} from './keepers.js';
import type {Stewards} from './stewards.js';

/** What the handlers need. */
export type HandlersContext = Readonly<{
	world: World;
	incarnation: string;
	scope: Scope;
	fleet: Fleet;
	callVm: CallVm;
	relay: RelayService;
	stewards: Stewards;
	keepers: Keepers;
	book: GrantRegistry;
	promises: TakeoverPromises;
	home: OwnerContext<TargetConnection>;
	/** Gets the epoch of a slot as far as it is known here. */
	getEpoch: (slot: string) => number;
	/** Tells whether this process reached the store lately. */
	isStoreReached: () => boolean;
	cancelHere: (requestId: string) => void;
	cancelCaller: (processId: number, secret: number) => void;
	getStatus: () => unknown;
	explain: (question: unknown) => unknown;
	/** Lists the last events of this process. */
	listEvents: () => readonly EventRecord[];
}>;

const THROUGH_TIMEOUT_MS = 250;

/** Creates the handlers. */
export const createHandlers = (context: HandlersContext): PeerHandlers => {
	const {fleet} = context;

	const answerPing = async (ping: PingRequest): Promise<PingResponse> => {
		fleet.members.applyUpdates(ping.news);
		if (ping.through) {
			const answer = await context.callVm<PingResponse>(ping.through, 'ping', {news: []}, THROUGH_TIMEOUT_MS);
			return answer.unwrap();
		}

		return {incarnation: context.incarnation, news: fleet.members.chooseUpdates()};
	};

	return {
		calls: {
			async ping(body, from) {
				fleet.members.recordResponse(from.vm as VmId, from.incarnation);
				return answerPing(body as PingRequest);
			},
			sync: async body => context.relay.sync(body as SyncRequest),
			async grant(body) {
				const {database, holder} = body as Readonly<{database: DatabaseId; holder: Holder}>;
				return context.stewards.grant(database, holder) ?? null;
			},
			async revoke(body) {
				const {database, permissions, incarnation} = body as Readonly<{database: DatabaseId; permissions: Permissions; incarnation: string}>;
				if (incarnation === context.incarnation) {
					context.book.revoke(database, permissions);
					if (permissions.writes && !permissions.acknowledgements) {
						await context.book.waitUntilWritesEnd(database, createDeadline(context.world.now(), MAX_GRANT_VALIDITY_MS));
					}
				}

				return true;
			},
			allot: async body => context.keepers.allot(body as TokenRequest) ?? null,
			async promise(body) {
				const request = body as TakeoverPromiseRequest;
				return context.promises.give(request, context.getEpoch(request.slot));
			},
			vouch: async () => context.isStoreReached(),
			async cancel(body) {
				context.cancelHere(body as string);
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
				await serveRequest(context.home, header as RequestHeader, stream as OwnerStream);
			},
		},
	};
};
