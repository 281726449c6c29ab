/** Budget of the bytes that callers can make a process hold. Decides who may hold more, who waits and who is closed; those who read and write act on it. */

/** What one connection, or one statement in progress, holds. */
export type ByteAccount = Readonly<{
	/** Names the customer whose share the account counts against. */
	setCustomer: (customer: string) => void;
	/** Counts bytes that are held already, or with a negative number no longer held; closes the largest holders if all together are over the budget. */
	add: (bytes: number) => void;
	/** Counts bytes if they are within the budget and the customer's share; returns `false` and counts nothing otherwise. */
	tryAdd: (bytes: number) => boolean;
	/** Tells whether the account holds no more than it may without a reservation. */
	isWithinFreeShare: () => boolean;
	/** Tells whether more may be read: the account is within its free share, or has a reservation. */
	mayRead: () => boolean;
	/** Requests a reservation of a number of bytes, held until `endReservation`; `onGranted` is called once there is room, which may be at once. Does nothing while one is requested or held. */
	reserve: (bytes: number, onGranted: () => void) => void;
	/** Ends the reservation, or withdraws the request. */
	endReservation: () => void;
	/** Counts what a session keeps until it ends; returns `false` and counts nothing if that is over the part of the budget for it. */
	tryKeep: (bytes: number) => boolean;
	getBytes: () => number;
	/** Ends the account, with all that it holds. */
	close: () => void;
}>;

/** Budget of a process, or of one part of its work. */
export type ByteBudget = Readonly<{
	/** Opens an account; `onEvicted` is called when it must be closed because all accounts together hold too much. Without it, the account is not closed early. */
	openAccount: (onEvicted?: () => void) => ByteAccount;
	/** Returns the bytes that are held, without reservations. */
	getHeldBytes: () => number;
	getTotalBytes: () => number;
	/** Tells whether so much is held that garbage should be collected sooner; messages of the usual length don't come near. */
	isPressed: () => boolean;
}>;

/** Memory of a process, in bytes; infinite if it has no limit. */
export type MemoryLimits = Readonly<{memoryBytes: number; heapBytes: number}>;

type Reservation = Readonly<{bytes: number; onGranted: () => void}>;

type Holder = {
	customer: string | undefined;
	bytes: number;
	keptBytes: number;
	reservation: Reservation | undefined;
	isEvicted: boolean;
	readonly onEvicted: (() => void) | undefined;
};

const BYTES_PER_MB = 1_048_576;
/** Memory of a process outside its heap and without callers, with a margin for the kernel and the platform, in bytes: 65 to 70 MB were resident while idle. */
const PROCESS_BYTES = 96 * BYTES_PER_MB;
/** Part of the heap that a process uses without callers, and that the collector needs to work, in bytes. */
const HEAP_BASE_BYTES = 32 * BYTES_PER_MB;
/** Memory that a message takes on its way through a process, as a multiple of its length: received bytes, text, command for the target or frame, bytes to send, and what the collector has not freed yet. With 4, slow readers took 164 of 160 MB. */
const COPIES = 6;
/** Smallest budget, in bytes: in each half, one message of 1 MiB and an answer of the longest kind. */
const MIN_BUDGET_BYTES = 6 * BYTES_PER_MB;
/** Bytes that an account may hold without a reservation: ten statements of the longest usual kind. */
const FREE_BYTES = 16_384;
/** Fraction of the budget for reservations; the rest is for accounts within their free share. */
const RESERVED_FRACTION = 0.75;
/** Fraction of the budget for prepared texts and values of sessions. */
const KEPT_FRACTION = 0.25;
/** Fraction of the budget from which it counts as pressed. */
const PRESSED_FRACTION = 0.25;
/** Bytes that sessions may keep at least: one message of 1 MiB. */
const MIN_KEPT_BYTES = 1_052_672;
/** Fraction of each part of the budget that one customer may have. */
const CUSTOMER_FRACTION = 0.5;

/** Computes the budget of a process from its memory, in bytes. */
export const computeBudgetBytes = ({memoryBytes, heapBytes}: MemoryLimits): number => Math.max(
	MIN_BUDGET_BYTES,
	Math.floor(Math.min(heapBytes - HEAP_BASE_BYTES, memoryBytes - PROCESS_BYTES) / COPIES),
);

/** Finds the account that holds most, of those that may be closed early and have not been. */
const findLargest = (holders: Iterable<Holder>): Holder | undefined => {
	let largest: Holder | undefined;
	for (const holder of holders) {
		if (holder.onEvicted && !holder.isEvicted && holder.bytes > (largest?.bytes ?? 0)) {
			largest = holder;
		}
	}

	return largest;
};

/** Creates a budget without accounts. */
export const createByteBudget = (totalBytes: number): ByteBudget => {
	const reservedLimit = totalBytes * RESERVED_FRACTION;
	const keptLimit = Math.max(MIN_KEPT_BYTES, totalBytes * KEPT_FRACTION);
	const holders = new Set<Holder>();
	/** Accounts whose reservation has been granted; few, as each is long. */
	const granted = new Set<Holder>();
	/** Accounts that have requested a reservation, in the order of their requests. */
	const waiting = new Set<Holder>();
	/** Bytes held by the accounts of each customer, without reservations. */
	const customerBytes = new Map<string, number>();
	let heldBytes = 0;
	let keptBytes = 0;
	/** Bytes of accounts that were evicted and have not been closed yet. */
	let leavingBytes = 0;

	const sumOf = (values: Iterable<Holder>, customer: string | undefined, measure: (holder: Holder) => number): number => {
		let sum = 0;
		for (const holder of values) {
			sum += customer === undefined || holder.customer === customer ? measure(holder) : 0;
		}

		return sum;
	};

	const getReservedBytes = ({reservation}: Holder): number => reservation?.bytes ?? 0;

	const getUnusedBytes = (holder: Holder): number => Math.max(0, getReservedBytes(holder) - holder.bytes);

	/** Tells whether a reservation fits; the first of a customer always fits its share, and the first of all always fits, so that a single message is served. */
	const canGrant = (holder: Holder): boolean => {
		if (granted.size === 0) {
			return true;
		}

		const ofCustomer = holder.customer === undefined ? 0 : sumOf(granted, holder.customer, getReservedBytes);
		const promised = heldBytes + keptBytes - leavingBytes + sumOf(granted, undefined, getUnusedBytes) + getUnusedBytes(holder);
		return promised <= reservedLimit && (ofCustomer === 0 || ofCustomer + getReservedBytes(holder) <= reservedLimit * CUSTOMER_FRACTION);
	};

	const grantWaiting = () => {
		for (const holder of waiting) {
			if (canGrant(holder)) {
				waiting.delete(holder);
				granted.add(holder);
				holder.reservation?.onGranted();
			}
		}
	};

	const evictLargest = () => {
		while (heldBytes + keptBytes - leavingBytes > totalBytes) {
			const largest = findLargest(holders);
			if (!largest) {
				return;
			}

			largest.isEvicted = true;
			leavingBytes += largest.bytes;
			largest.onEvicted?.();
		}
	};

	const getCustomerBytes = (customer: string | undefined): number => customer === undefined ? 0 : customerBytes.get(customer) ?? 0;

	const changeCustomer = (customer: string | undefined, bytes: number) => {
		const newBytes = getCustomerBytes(customer) + bytes;
		if (customer !== undefined && newBytes > 0) {
			customerBytes.set(customer, newBytes);
		} else if (customer !== undefined) {
			customerBytes.delete(customer);
		}
	};

	const change = (holder: Holder, bytes: number) => {
		holder.bytes += bytes;
		heldBytes += bytes;
		changeCustomer(holder.customer, bytes);
		leavingBytes += holder.isEvicted ? bytes : 0;
	};

	return {
		openAccount(onEvicted) {
			const holder: Holder = {
				customer: undefined, bytes: 0, keptBytes: 0, reservation: undefined, isEvicted: false, onEvicted,
			};
			holders.add(holder);

			const endReservation = () => {
				if (holder.reservation) {
					holder.reservation = undefined;
					waiting.delete(holder);
					granted.delete(holder);
					grantWaiting();
				}
			};

			return {
				setCustomer(customer) {
					changeCustomer(holder.customer, -holder.bytes);
					holder.customer = customer;
					changeCustomer(customer, holder.bytes);
				},
				add(bytes) {
					if (!holders.has(holder)) {
						return;
					}

					change(holder, bytes);
					if (bytes > 0) {
						evictLargest();
					} else {
						grantWaiting();
					}
				},
				tryAdd(bytes) {
					const ofCustomer = getCustomerBytes(holder.customer);
					const isInShare = ofCustomer <= holder.bytes || ofCustomer + bytes <= totalBytes * CUSTOMER_FRACTION;
					// What is left above the limit of long messages is for short ones.
					const limit = holder.bytes + bytes <= FREE_BYTES ? totalBytes : reservedLimit;
					if (!isInShare || (heldBytes + bytes > limit && heldBytes > holder.bytes)) {
						return false;
					}

					change(holder, bytes);
					return true;
				},
				isWithinFreeShare: () => holder.bytes <= FREE_BYTES,
				mayRead: () => holder.bytes <= FREE_BYTES || granted.has(holder),
				reserve(bytes, onGranted) {
					if (!holder.reservation && holders.has(holder)) {
						holder.reservation = {bytes, onGranted};
						waiting.add(holder);
						grantWaiting();
					}
				},
				endReservation,
				tryKeep(bytes) {
					const ofCustomer = holder.customer === undefined ? 0 : sumOf(holders, holder.customer, other => other.keptBytes);
					const isKept = bytes <= 0 || (keptBytes + bytes <= keptLimit && (ofCustomer === holder.keptBytes || ofCustomer + bytes <= keptLimit * CUSTOMER_FRACTION));
					if (isKept) {
						holder.keptBytes += bytes;
						keptBytes += bytes;
					}

					return isKept;
				},
				getBytes: () => holder.bytes + holder.keptBytes,
				close() {
					if (holders.delete(holder)) {
						change(holder, -holder.bytes);
						keptBytes -= holder.keptBytes;
						endReservation();
						grantWaiting();
					}
				},
			};
		},
		getHeldBytes: () => heldBytes + keptBytes,
		getTotalBytes: () => totalBytes,
		isPressed: () => heldBytes > totalBytes * PRESSED_FRACTION,
	};
};
