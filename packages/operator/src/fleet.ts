/** Client for the proxies of the fleet, over the peer protocol. */

import {
	createDeadline, Err, isPast, Ok, type Failure, type Result, type Runtime, type VmId,
} from '@guavapitch/core';
import {
	createDial, createPeerConnections, type Address, type PeerTls,
} from '@guavapitch/peer-protocol';
import type {Store, StoreFailure} from '@guavapitch/store';

/** A vm in the platform's list; `state` is `live`, `leaving` or `gone`, `host` and `port` are the address for peers. */
export type ListedVm = Readonly<{vm: VmId; dataCentre: string; host: string; port: number; state: string}>;

/** Status that a proxy reports about itself. */
export type ProxyStatus = Readonly<{
	vm: string;
	dataCentre: string;
	incarnation: string;
	version: string;
	/** Revision of the active configuration; 0 if there is none. */
	revision: number;
	/** Time since the configuration was last confirmed to be the newest, in milliseconds. */
	confirmedAgeMs: number;
	draining: boolean;
	/** Vms in the list, each with the status that this vm sees and its state in the list. */
	members: ReadonlyArray<Readonly<{vm: string; status: string; state: string}>>;
	/** Latest known group record of each database, with its revision in the store. */
	groups: ReadonlyArray<Readonly<{revision: number; record: Readonly<{database: string; term: number; primary: string; synced: readonly string[]; joining: readonly string[]}>}>>;
	/** Targets that the vm has open as an owner: queued and running requests, open and idle connections. */
	homes: ReadonlyArray<Readonly<{target: string; queued: number; busy: number; open: number; idle: number}>>;
	/** Value of every counter and gauge, by name and labels. */
	metrics: Readonly<Record<string, number>>;
}>;

/** Client that calls methods of proxies. */
export type FleetClient = AsyncDisposable & Readonly<{
	/** Calls a method of the proxy at an address; the type of the response is not checked. */
	call: <ResponseBody>(address: Address, method: string, body: unknown) => Promise<Result<ResponseBody, Failure>>;
}>;

const CALL_TIMEOUT_MS = 2000;
const POLL_MS = 50;

/** Opens a client for the fleet; it connects to a proxy at the first call to it. */
export const openFleetClient = (runtime: Runtime, tls?: PeerTls): FleetClient => {
	const peers = createPeerConnections({
		runtime,
		identity: {vm: 'operator', incarnation: runtime.createId()},
		handlers: {calls: {}, streams: {}},
		readTime: () => [runtime.readWallClock(), 0],
		observeTime: () => undefined,
		onMalformedFrame: () => undefined,
	}, createDial(tls));
	return {
		async call<ResponseBody>(address: Address, method: string, body: unknown): Promise<Result<ResponseBody, Failure>> {
			const response = await peers.call(address, method, body, CALL_TIMEOUT_MS);
			return response.map(responseBody => responseBody as ResponseBody);
		},
		[Symbol.asyncDispose]: async () => peers[Symbol.asyncDispose](),
	};
};

/** Failure to read the platform's list of vms: the store does not answer, or lists none that is not gone. */
export type VmListFailure = StoreFailure | Failure<'noVms'>;

/** Reads the platform's list of vms, without those that are gone. */
export const readVms = async (store: Store): Promise<Result<readonly ListedVm[], VmListFailure>> => {
	const entries = await store.readAll('/platform/vms/');
	if (entries.err) {
		return entries;
	}

	const vms = entries.val.map(entry => JSON.parse(entry.value) as ListedVm).filter(vm => vm.state !== 'gone');
	return vms.length > 0 ? Ok(vms) : Err({code: 'noVms', message: 'the platform lists no vm'});
};

/** Status of one vm, or why it could not be read. */
export type VmStatus = Readonly<{vm: ListedVm; status: Result<ProxyStatus, Failure>}>;

/** Reads the status of every listed vm. */
export const readStatuses = async (store: Store, client: FleetClient): Promise<Result<readonly VmStatus[], VmListFailure>> => {
	const vms = await readVms(store);
	return vms.ok ? Ok(await Promise.all(vms.val.map(async vm => ({vm, status: await client.call<ProxyStatus>(vm, 'status', null)})))) : vms;
};

/** Waits until a revision of the configuration, or a newer one, is active at every vm, or the timeout passes; returns the vms where it is not active, and fails if they cannot be listed. */
export const waitForRevision = async (
	store: Store,
	client: FleetClient,
	runtime: Runtime,
	options: Readonly<{revision: number; timeoutMs: number}>,
): Promise<Result<readonly VmStatus[], VmListFailure>> => {
	const deadline = createDeadline(runtime.now(), options.timeoutMs);
	while (true) {
		const statuses = await readStatuses(store, client);
		const outdatedStatuses = statuses.map(listed => listed.filter(({status}) => status.err || status.val.revision < options.revision));
		if ((outdatedStatuses.ok && outdatedStatuses.val.length === 0) || isPast(deadline, runtime.now())) {
			return outdatedStatuses;
		}

		await runtime.sleep(POLL_MS);
	}
};
