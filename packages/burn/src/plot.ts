/**
 * Plots burn rates over time as inline SVG.
 */
import {type BurnPoint} from './report.js';

/** The size and margins of a plot, in pixels. */
const layout = {
	width: 480, height: 150, left: 44, right: 8, top: 8, bottom: 22,
} as const;

const minimumTopRate = 2;
/** The minimum distance between two labels, in pixels. */
const minimumLabelDistance = 12;

type Scale = (value: number) => number;

function horizontalScale(count: number): Scale {
	const span = layout.width - layout.left - layout.right;
	return position => layout.left + (span * (position + 0.5) / Math.max(1, count));
}

function verticalScale(maximumRate: number): Scale {
	const span = layout.height - layout.top - layout.bottom;
	return rate => layout.height - layout.bottom - (span * rate / maximumRate);
}

function label(value: number): string {
	return value >= 10 ? value.toFixed(0) : value.toFixed(1);
}

function lineAt(rate: number, vertical: Scale, colour: string): string {
	const height = vertical(rate).toFixed(1);
	return `<line x1="${layout.left}" x2="${layout.width - layout.right}" y1="${height}" y2="${height}" stroke="${colour}"/>`;
}

function labelledLineAt(rate: number, vertical: Scale, colour: string): string {
	return lineAt(rate, vertical, colour)
		+ `<text x="${layout.left - 6}" y="${(vertical(rate) + 4).toFixed(1)}" text-anchor="end">${label(rate)}</text>`;
}

function bars(points: readonly BurnPoint[], horizontal: Scale, vertical: Scale): string {
	const width = Math.max(1, horizontal(1) - horizontal(0) - 1).toFixed(1);
	return points.map(({burnRate}, position) => {
		if (burnRate === undefined) {
			return '';
		}

		const top = vertical(burnRate);
		const height = Math.max(0.8, vertical(0) - top).toFixed(1);
		const left = (horizontal(position) - (Number(width) / 2)).toFixed(1);
		return `<rect x="${left}" y="${Math.min(top, vertical(0) - 0.8).toFixed(1)}" width="${width}" height="${height}" fill="${burnRate > 1 ? '#a4161a' : '#2f6f8f'}"/>`;
	}).join('');
}

function timeLabel(point: BurnPoint | undefined, position: number, anchor: string): string {
	const text = point === undefined ? '' : new Date(point.at).toISOString().slice(5, 16).replace('T', ' ');
	return `<text x="${position}" y="${layout.height - 6}" text-anchor="${anchor}">${text}</text>`;
}

/** Plots burn rates as bars, oldest first, with a horizontal line at 1. Its label replaces the one at 0 if there is no room for both. A gap means no requests. The title must be escaped already. */
export function plotPoints(points: readonly BurnPoint[], title: string): string {
	const maximumRate = Math.max(minimumTopRate, ...points.map(point => point.burnRate ?? 0));
	const horizontal = horizontalScale(points.length);
	const vertical = verticalScale(maximumRate);
	const drawBaseline = vertical(0) - vertical(1) < minimumLabelDistance ? lineAt : labelledLineAt;
	return `<svg viewBox="0 0 ${layout.width} ${layout.height}" width="100%" role="img" aria-label="${title}">`
		+ drawBaseline(0, vertical, '#c3ccd4')
		+ (maximumRate > 1.2 * minimumTopRate ? labelledLineAt(maximumRate, vertical, '#eceff2') : '')
		+ bars(points, horizontal, vertical)
		+ labelledLineAt(1, vertical, '#d99a00')
		+ timeLabel(points[0], layout.left, 'start')
		+ timeLabel(points.at(-1), layout.width - layout.right, 'end')
		+ '</svg>';
}
