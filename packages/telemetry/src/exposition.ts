/** Metrics in the Prometheus text format. */

import {BUCKET_BOUNDS_MS, type Histogram, type Metrics} from './metrics.js';

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

const formatHistogram = ({name, labels, counts, sumMs}: Histogram): readonly string[] => {
	const labelPairs = Object.entries(labels);
	let cumulativeCount = 0;
	const bucketLines = counts.map((count, index) => {
		cumulativeCount += count;
		return `${formatName(name)}_ms_bucket${formatLabels([...labelPairs, ['le', String(BUCKET_BOUNDS_MS[index] ?? '+Inf')]])} ${cumulativeCount}`;
	});
	return [...bucketLines, `${formatName(name)}_ms_sum${formatLabels(labelPairs)} ${sumMs}`, `${formatName(name)}_ms_count${formatLabels(labelPairs)} ${cumulativeCount}`];
};

/** Formats every counter, gauge and histogram of a process, one sample a line. */
export const formatMetrics = (metrics: Metrics): string => {
	const valueLines = Object.entries(metrics.snapshot()).map(([key, value]) => {
		const {name, labels} = splitKey(key);
		return `${formatName(name)}${formatLabels(labels)} ${value}`;
	});
	return `${[...valueLines, ...metrics.listHistograms().flatMap(histogram => formatHistogram(histogram))].join('\n')}\n`;
};
