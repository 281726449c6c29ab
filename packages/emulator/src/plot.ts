/** Plot of a replay as SVG: worth per time window, one line for each class. */

import type {ReplayResult} from './replay.js';
import {createTable} from './table.js';

/** Size of the plot and its margin, in pixels. */
const WIDTH = 720;
const HEIGHT = 300;
const MARGIN = 40;
const LINE_COLOURS: readonly string[] = ['#1b6ca8', '#c8553d', '#3a7d44', '#7a5195'];

/** Formats the worth of each time window as an SVG document with one line for each class. */
export const formatPlot = (result: ReplayResult): string => {
	const classNames = [...new Set(result.operations.map(({className}) => className))].toSorted();
	const lastStartMs = Math.max(1, ...result.operations.map(({startedAtMs}) => startedAtMs));
	const curves = classNames.map((name, index) => {
		const rows = createTable({...result, operations: result.operations.filter(({className}) => className === name)}).filter(({group}) => group === 'from ms');
		const points = rows.map(row => `${(MARGIN + ((Number(row.name) / lastStartMs) * (WIDTH - (2 * MARGIN)))).toFixed(1)},${(HEIGHT - MARGIN - (row.worth * (HEIGHT - (2 * MARGIN)))).toFixed(1)}`);
		const colour = LINE_COLOURS[index % LINE_COLOURS.length];
		return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/><text x="${MARGIN + (index * 120)}" y="20" fill="${colour}">${name}</text>`;
	});
	const axes = `<path d="M${MARGIN} ${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}" fill="none" stroke="#444"/>`;
	const labels = `<text x="4" y="${MARGIN + 4}">1.0</text><text x="4" y="${HEIGHT - MARGIN}">0.0</text><text x="${WIDTH - 90}" y="${HEIGHT - 12}">${Math.round(lastStartMs / 1000)} s</text>`;
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12"><rect width="100%" height="100%" fill="white"/>${axes}${labels}${curves.join('')}</svg>\n`;
};
