/** Counters and gauges, kept in the process and sent by `hot-shots`. */

import {StatsD} from 'hot-shots';

/** Labels of a metric. */
export type Tags = Readonly<Record<string, string>>;

/** Metrics of one process. */
export type Metrics = AsyncDisposable & Readonly<{
	/** Adds to a counter. */
	count: (name: string, tags?: Tags, by?: number) => void;
	/** Sets a gauge. */
	gauge: (name: string, value: number, tags?: Tags) => void;
	/** Records a time in milliseconds. */
	time: (name: string, ms: number, tags?: Tags) => void;
	/** Gets every counter and gauge, by name and tags. */
	snapshot: () => Readonly<Record<string, number>>;
}>;

const formatKey = (name: string, tags: Tags): string => {
	const labels = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
	return labels.length === 0 ? name : `${name}{${labels.join(',')}}`;
};

/** Metrics are best effort: a failed send is dropped. */
const ignoreFailure = () => undefined;

/** Opens the metrics; with no address they are only kept in the process. */
export const openMetrics = (address?: Readonly<{host: string; port: number}>): Metrics => {
	const values = new Map<string, number>();
	const client = address
		? new StatsD({
			host: address.host, port: address.port, prefix: 'guavapitch.', errorHandler: ignoreFailure,
		})
		: undefined;
	return {
		count(name, tags = {}, by = 1) {
			const key = formatKey(name, tags);
			values.set(key, (values.get(key) ?? 0) + by);
			client?.increment(name, by, tags);
		},
		gauge(name, value, tags = {}) {
			values.set(formatKey(name, tags), value);
			client?.gauge(name, value, tags);
		},
		time(name, ms, tags = {}) {
			client?.timing(name, ms, tags);
		},
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
