/** Draws a time line as a self-contained SVG image, with a lane for each vm. */

import type {EventRecord} from '@guavapitch/telemetry';

// All lengths are in pixels of the image.
const WIDTH = 1400;
const LANE_HEIGHT = 46;
const LEFT_MARGIN = 190;
const TOP_MARGIN = 46;
const RIGHT_MARGIN = 30;
const DOT_RADIUS = 5;
/** Number of intervals into which the ticks divide the time axis. */
const TICK_INTERVALS = 8;
/** Minimum distance between two labels in a lane; events in between get a tooltip only. */
const MIN_LABEL_SPACING = 90;
const COLOURS: Readonly<Record<string, string>> = {info: '#1f6f8b', warn: '#d9822b', error: '#b3261e'};

const escapeText = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');

const formatDetails = (record: EventRecord): string => `${record.id} ${record.title} ${JSON.stringify(record.fields)}`;

/** Draws events, given in the order of their timestamps, as an SVG document. */
export const drawTimeline = (records: readonly EventRecord[]): string => {
	const lanes = [...new Set(records.map(record => record.vm))].toSorted((a, b) => a < b ? -1 : 1);
	const startMs = records[0]?.hlc[0] ?? 0;
	const durationMs = Math.max(1, (records.at(-1)?.hlc[0] ?? 0) - startMs);
	const height = TOP_MARGIN + (lanes.length * LANE_HEIGHT) + TOP_MARGIN;
	const computeX = (ms: number): number => LEFT_MARGIN + ((ms - startMs) / durationMs * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN));
	const computeY = (vm: string): number => TOP_MARGIN + (lanes.indexOf(vm) * LANE_HEIGHT) + (LANE_HEIGHT / 2);
	const parts: string[] = [];
	for (const lane of lanes) {
		parts.push(
			`<text x="10" y="${computeY(lane) + 4}" class="lane">${escapeText(lane)}</text>`,
			`<line x1="${LEFT_MARGIN}" x2="${WIDTH - RIGHT_MARGIN}" y1="${computeY(lane)}" y2="${computeY(lane)}" class="rule"/>`,
		);
	}

	for (let tick = 0; tick <= TICK_INTERVALS; tick++) {
		const ms = startMs + (durationMs * tick / TICK_INTERVALS);
		parts.push(`<text x="${computeX(ms)}" y="20" class="tick">+${Math.round(ms - startMs)} ms</text>`);
	}

	const lastLabelX = new Map<string, number>();
	for (const record of records) {
		const x = computeX(record.hlc[0]);
		const y = computeY(record.vm);
		const hasLabelSpace = x - (lastLabelX.get(record.vm) ?? Number.NEGATIVE_INFINITY) > MIN_LABEL_SPACING;
		parts.push(`<circle cx="${x.toFixed(1)}" cy="${y}" r="${DOT_RADIUS}" fill="${COLOURS[record.level] ?? '#555'}"><title>${escapeText(formatDetails(record))}</title></circle>`);
		if (hasLabelSpace) {
			lastLabelX.set(record.vm, x);
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
