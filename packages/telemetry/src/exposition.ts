/** Metrics in the Prometheus text format. */

import {BUCKETS_MS, type Histogram, type Metrics} from './metrics.js';

const PREFIX = 'guavapitch_';

const formatName = (name: string): string => PREFIX + name.replaceAll(/[^a-zA-Z0-9]/gv, '_');

const formatLabels = (labels: ReadonlyArray<readonly [string, string]>): string => labels.length === 0
	? ''
	: `{${labels.map(([name, value]) => `${name}="${value.replaceAll(/[\\"\n]/gv, '_')}"`).join(',')}}`;

/** Splits a key of a snapshot, such as `outcomes{kind=busy}`, into its name and labels. */
const splitKey = (key: string): Readonly<{name: string; labels: ReadonlyArray<readonly [string, string]>}> => {
	const [name = '', labelText = ''] = key.replace(/\}$/v, '').split('{');
	const labels = labelText === ''
		? []
		: labelText.split(',').map(pair => {
			const [label = '', value = ''] = pair.split('=');
			return [label, value] as const;
		});
	return {name, labels};
};

const formatHistogram = ({name, tags, counts, sumMs}: Histogram): readonly string[] => {
	const labels = Object.entries(tags);
	let total = 0;
	const buckets = counts.map((count, index) => {
		total += count;
		return `${formatName(name)}_ms_bucket${formatLabels([...labels, ['le', String(BUCKETS_MS[index] ?? '+Inf')]])} ${total}`;
	});
	return [...buckets, `${formatName(name)}_ms_sum${formatLabels(labels)} ${sumMs}`, `${formatName(name)}_ms_count${formatLabels(labels)} ${total}`];
};

/** Formats every counter, gauge and histogram of a process. */
export const formatMetrics = (metrics: Metrics): string => {
	const values = Object.entries(metrics.snapshot()).map(([key, value]) => {
		const {name, labels} = splitKey(key);
		return `${formatName(name)}${formatLabels(labels)} ${value}`;
	});
	return `${[...values, ...metrics.listHistograms().flatMap(histogram => formatHistogram(histogram))].join('\n')}\n`;
};
