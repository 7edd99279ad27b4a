/**
 * Renders the report as lines of text.
 */
import {type BurnReport, type ObjectiveBurn, type WindowBurn} from './report.js';
import {badRequestClasses} from './window.js';

/** Formats a burn rate; `-` without requests. */
export function formatRate(rate: number | undefined): string {
	return rate === undefined ? '-' : rate.toFixed(2);
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}

/** Formats the share of a budget that is left. */
export function formatBudget(left: number): string {
	return left < 0 ? `overspent ${(1 - left).toFixed(1)} times` : formatShare(left);
}

/** Formats an objective's target and latency threshold. */
export function formatObjective({objective}: ObjectiveBurn): string {
	const within = objective.withinMilliseconds === undefined ? '' : ` within ${objective.withinMilliseconds} ms`;
	return `${Number((objective.target * 100).toFixed(4))} %${within}`;
}

/** Formats the bad requests of a window by class. */
export function formatBad({counts}: WindowBurn): string {
	const parts = badRequestClasses.filter(requestClass => counts[requestClass] > 0).map(requestClass => `${requestClass} ${counts[requestClass]}`);
	return parts.length === 0 ? 'none' : parts.join(', ');
}

function aligned(rows: ReadonlyArray<readonly string[]>): readonly string[] {
	const widths = rows[0]!.map((_cell, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd());
}

function objectiveRows(report: BurnReport): ReadonlyArray<readonly string[]> {
	return report.objectives.map(burn => [
		burn.objective.service, burn.objective.name, formatObjective(burn), ...burn.windows.map(window => formatRate(window.burnRate)), formatBudget(burn.budgetLeft), formatBad(burn.windows.at(-1)!),
	]);
}

function objectiveLines(report: BurnReport): readonly string[] {
	const names = report.objectives[0]?.windows.map(window => `burn ${window.window}`) ?? [];
	return aligned([['service', 'objective', 'target', ...names, 'budget left', 'bad in the longest window'], ...objectiveRows(report)]);
}

function latencyLines(report: BurnReport): readonly string[] {
	const rows = report.latencies.map(latency => [
		latency.service, String(latency.answers), `${latency.medianMilliseconds} ms`, `${latency.percentile99Milliseconds} ms`, `${latency.longestMilliseconds} ms`,
	]);
	return aligned([['service', 'answers 1 h', '50th', '99th', 'longest'], ...rows]);
}

function figureLines(report: BurnReport): readonly string[] {
	const rows = report.figures.map(figures => [
		figures.service, `${(figures.unavailableSlotMilliseconds / 1000).toFixed(1)} s`, String(figures.moves), figures.slotImbalance.toFixed(2), figures.loadImbalance.toFixed(2),
	]);
	return aligned([['service', 'unavailable slot time', 'slots moved', 'slot imbalance', 'load imbalance'], ...rows]);
}

/** States how many instances are in the report, and which are missing. */
export function coverageLine(report: BurnReport): string {
	const lacking = report.lacking.length === 0 ? 'none lacking' : `LACKING: ${report.lacking.join(', ')}`;
	return `counted by ${report.instances.length} instances, ${lacking}`;
}

/** Renders the report as lines of text. */
export function reportLines(report: BurnReport): readonly string[] {
	return [
		`service-level burn at ${new Date(report.at).toISOString()}`,
		coverageLine(report),
		'',
		...objectiveLines(report),
		'',
		...latencyLines(report),
		'',
		...figureLines(report),
	];
}
