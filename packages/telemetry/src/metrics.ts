/** Counters, gauges and histograms, kept in the process and optionally sent to StatsD. */

import {StatsD} from 'hot-shots';

/** Labels of a metric, by name; StatsD calls them tags. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Inclusive upper bounds of the histogram buckets, in milliseconds. */
export const BUCKET_BOUNDS_MS: readonly number[] = [5, 10, 25, 50, 100, 200, 400, 800, 1500, 3000];

/** Histogram of the times recorded under one name and one set of labels. */
export type Histogram = Readonly<{
	name: string;
	labels: MetricLabels;
	/** Number of times in each bucket, not cumulative; the last bucket has no upper bound. */
	counts: readonly number[];
	/** Sum of all times, in milliseconds. */
	sumMs: number;
}>;

/** Metrics of one process. */
export type Metrics = AsyncDisposable & Readonly<{
	/** Adds to a counter, by default 1. */
	count: (name: string, labels?: MetricLabels, amount?: number) => void;
	/** Sets a gauge. */
	gauge: (name: string, value: number, labels?: MetricLabels) => void;
	/** Adds a time in milliseconds to a histogram. */
	time: (name: string, ms: number, labels?: MetricLabels) => void;
	/** Returns every histogram. */
	listHistograms: () => readonly Histogram[];
	/** Returns the value of every counter and gauge, by a key such as `outcomes{kind=busy}`. */
	snapshot: () => Readonly<Record<string, number>>;
}>;

const formatKey = (name: string, labels: MetricLabels): string => {
	const labelTexts = Object.entries(labels).map(([key, value]) => `${key}=${value}`);
	return labelTexts.length === 0 ? name : `${name}{${labelTexts.join(',')}}`;
};

/** Ignores a failed send: metrics are best effort. */
const ignoreSendFailure = () => undefined;

/** Opens the metrics; without the address of a StatsD server they are only kept in the process. */
export const openMetrics = (address?: Readonly<{host: string; port: number}>): Metrics => {
	const values = new Map<string, number>();
	const histograms = new Map<string, {name: string; labels: MetricLabels; counts: number[]; sumMs: number}>();

	const recordTime = (name: string, ms: number, labels: MetricLabels) => {
		const key = formatKey(name, labels);
		const histogram = histograms.get(key) ?? {
			name, labels, counts: Array.from({length: BUCKET_BOUNDS_MS.length + 1}, () => 0), sumMs: 0,
		};
		histograms.set(key, histogram);
		const boundIndex = BUCKET_BOUNDS_MS.findIndex(bound => ms <= bound);
		const bucketIndex = boundIndex === -1 ? BUCKET_BOUNDS_MS.length : boundIndex;
		histogram.counts[bucketIndex] = (histogram.counts[bucketIndex] ?? 0) + 1;
		histogram.sumMs += ms;
	};

	const client = address
		? new StatsD({
			host: address.host, port: address.port, prefix: 'guavapitch.', errorHandler: ignoreSendFailure,
		})
		: undefined;
	return {
		count(name, labels = {}, amount = 1) {
			const key = formatKey(name, labels);
			values.set(key, (values.get(key) ?? 0) + amount);
			client?.increment(name, amount, labels);
		},
		gauge(name, value, labels = {}) {
			values.set(formatKey(name, labels), value);
			client?.gauge(name, value, labels);
		},
		time(name, ms, labels = {}) {
			recordTime(name, ms, labels);
			client?.timing(name, ms, labels);
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
