/** Counters, gauges and histograms, kept in the process and sent to StatsD. */

import {StatsD} from 'hot-shots';

/** Labels of a metric. */
export type Tags = Readonly<Record<string, string>>;

/** Upper bounds of the histogram buckets, in milliseconds. */
export const BUCKETS_MS: readonly number[] = [5, 10, 25, 50, 100, 200, 400, 800, 1500, 3000];

/** Histogram of the times recorded under one name and one set of labels. */
export type Histogram = Readonly<{
	name: string;
	tags: Tags;
	/** Number of times in each bucket, not cumulative; the last bucket has no upper bound. */
	counts: readonly number[];
	sumMs: number;
}>;

/** Metrics of one process. */
export type Metrics = AsyncDisposable & Readonly<{
	/** Adds to a counter. */
	count: (name: string, tags?: Tags, amount?: number) => void;
	/** Sets a gauge. */
	gauge: (name: string, value: number, tags?: Tags) => void;
	/** Records a time in milliseconds. */
	time: (name: string, ms: number, tags?: Tags) => void;
	/** Returns every histogram. */
	listHistograms: () => readonly Histogram[];
	/** Returns the value of every counter and gauge, by name and labels. */
	snapshot: () => Readonly<Record<string, number>>;
}>;

const formatKey = (name: string, tags: Tags): string => {
	const labels = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
	return labels.length === 0 ? name : `${name}{${labels.join(',')}}`;
};

/** Metrics are best effort: a failed send is dropped. */
const ignoreSendFailure = () => undefined;

/** Opens the metrics; without the address of a StatsD server they are only kept in the process. */
export const openMetrics = (address?: Readonly<{host: string; port: number}>): Metrics => {
	const values = new Map<string, number>();
	const histograms = new Map<string, {name: string; tags: Tags; counts: number[]; sumMs: number}>();

	const recordTime = (name: string, ms: number, tags: Tags) => {
		const key = formatKey(name, tags);
		const histogram = histograms.get(key) ?? {
			name, tags, counts: Array.from({length: BUCKETS_MS.length + 1}, () => 0), sumMs: 0,
		};
		histograms.set(key, histogram);
		const bucket = BUCKETS_MS.findIndex(bound => ms <= bound);
		const index = bucket === -1 ? BUCKETS_MS.length : bucket;
		histogram.counts[index] = (histogram.counts[index] ?? 0) + 1;
		histogram.sumMs += ms;
	};

	const client = address
		? new StatsD({
			host: address.host, port: address.port, prefix: 'guavapitch.', errorHandler: ignoreSendFailure,
		})
		: undefined;
	return {
		count(name, tags = {}, amount = 1) {
			const key = formatKey(name, tags);
			values.set(key, (values.get(key) ?? 0) + amount);
			client?.increment(name, amount, tags);
		},
		gauge(name, value, tags = {}) {
			values.set(formatKey(name, tags), value);
			client?.gauge(name, value, tags);
		},
		time(name, ms, tags = {}) {
			recordTime(name, ms, tags);
			client?.timing(name, ms, tags);
		},
		listHistograms: () => [...histograms.values()],
		snapshot: () => Object.fromEntries(values),
		async [Symbol.asyncDispose]() {
			await new Promise<void>(resolve => {
				if (client) {
					client.close(() => {
						resolve();
					});
				} else {
					resolve();
				}
			});
		},
	};
};
