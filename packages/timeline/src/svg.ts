/** Time line as one self-contained SVG picture, with a lane for each process. */

import type {EventRecord} from '@guavapitch/telemetry';

const WIDTH = 1400;
const LANE_HEIGHT = 46;
const LEFT = 190;
const TOP = 46;
const RIGHT = 30;
const DOT_RADIUS = 5;
const TICKS = 8;
const LABEL_SPACING = 90;
const COLOURS: Readonly<Record<string, string>> = {info: '#1f6f8b', warn: '#d9822b', error: '#b3261e'};

const escapeText = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');

const formatDetails = (record: EventRecord): string => `${record.id} ${record.title} ${JSON.stringify(record.fields)}`;

/** Draws events. */
export const drawTimeline = (records: readonly EventRecord[]): string => {
	const lanes = [...new Set(records.map(record => record.vm))].toSorted((a, b) => a < b ? -1 : 1);
	const first = records[0]?.hlc[0] ?? 0;
	const span = Math.max(1, (records.at(-1)?.hlc[0] ?? 0) - first);
	const height = TOP + (lanes.length * LANE_HEIGHT) + TOP;
	const placeX = (ms: number): number => LEFT + ((ms - first) / span * (WIDTH - LEFT - RIGHT));
	const placeY = (vm: string): number => TOP + (lanes.indexOf(vm) * LANE_HEIGHT) + (LANE_HEIGHT / 2);
	const parts: string[] = [];
	for (const lane of lanes) {
		parts.push(
			`<text x="10" y="${placeY(lane) + 4}" class="lane">${escapeText(lane)}</text>`,
			`<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${placeY(lane)}" y2="${placeY(lane)}" class="rule"/>`,
		);
	}

	for (let tick = 0; tick <= TICKS; tick++) {
		const ms = first + (span * tick / TICKS);
		parts.push(`<text x="${placeX(ms)}" y="20" class="tick">+${Math.round(ms - first)} ms</text>`);
	}

	const labelled = new Map<string, number>();
	for (const record of records) {
		const x = placeX(record.hlc[0]);
		const y = placeY(record.vm);
		const isFree = x - (labelled.get(record.vm) ?? Number.NEGATIVE_INFINITY) > LABEL_SPACING;
		parts.push(`<circle cx="${x.toFixed(1)}" cy="${y}" r="${DOT_RADIUS}" fill="${COLOURS[record.level] ?? '#555'}"><title>${escapeText(formatDetails(record))}</title></circle>`);
		if (isFree) {
			labelled.set(record.vm, x);
			parts.push(`<text x="${x.toFixed(1)}" y="${y - 9}" class="label">${escapeText(record.title)}</text>`);
		}
	}

	return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${height}" width="${WIDTH}" height="${height}">
<style>text{font-family:sans-serif;font-size:11px;fill:#222}.lane{font-weight:bold}.tick{fill:#777}.label{font-size:9px;fill:#444}.rule{stroke:#ddd}</style>
<rect width="100%" height="100%" fill="#fff"/>
${parts.join('\n')}
</svg>
`;
};
