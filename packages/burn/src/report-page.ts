/**
 * Renders the report as one self-contained HTML page, without external resources.
 */
import {plotPoints} from './plot.js';
import {
	coverageLine, formatBad, formatBudget, formatObjective, formatRate,
} from './report-text.js';
import {type BurnReport, type ObjectiveBurn} from './report.js';

const style = `
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 66rem; padding: 0 1rem; color: #1d2730; background: #fff; }
h1 { font-size: 1.5rem; margin-bottom: 0; }
h2 { font-size: 1.15rem; margin: 2rem 0 0.5rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 0.3rem 0.6rem; border-bottom: 1px solid #d8dee4; font-variant-numeric: tabular-nums; }
th { font-weight: 600; color: #51606d; }
.over { color: #a4161a; font-weight: 600; }
.lacking { background: #fff1c9; padding: 0.4rem 0.6rem; border-radius: 4px; }
.plots { display: grid; grid-template-columns: repeat(auto-fill, minmax(30rem, 1fr)); gap: 1rem; }
figure { margin: 0; }
figcaption { color: #51606d; }
svg text { font: 11px system-ui, sans-serif; fill: #51606d; }
`;

const entities: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

/** Escapes a text for HTML content and quoted attributes. */
export function escapeHtml(text: string): string {
	return text.replaceAll(/["&'<>]/gu, character => entities[character]!);
}

function cell(text: string, isOver = false): string {
	return `<td${isOver ? ' class="over"' : ''}>${escapeHtml(text)}</td>`;
}

function tableOf(headings: readonly string[], rows: readonly string[]): string {
	const top = headings.map(head => `<th scope="col">${escapeHtml(head)}</th>`).join('');
	return `<table><thead><tr>${top}</tr></thead><tbody>${rows.map(row => `<tr>${row}</tr>`).join('\n')}</tbody></table>`;
}

function objectiveRow(burn: ObjectiveBurn): string {
	return [
		cell(burn.objective.service),
		cell(burn.objective.name),
		cell(formatObjective(burn)),
		...burn.windows.map(window => cell(formatRate(window.burnRate), (window.burnRate ?? 0) > 1)),
		cell(formatBudget(burn.budgetLeft), burn.budgetLeft < 0),
		cell(formatBad(burn.windows.at(-1)!)),
	].join('');
}

function objectiveTable(report: BurnReport): string {
	const windows = report.objectives[0]?.windows.map(window => `burn ${window.window}`) ?? [];
	const heads = ['service', 'objective', 'target', ...windows, 'budget left', 'bad in the longest window'];
	return tableOf(heads, report.objectives.map(burn => objectiveRow(burn)));
}

function latencyTable(report: BurnReport): string {
	return tableOf(['service', 'answers', '50th', '99th', 'longest'], report.latencies.map(latency => [
		cell(latency.service),
		cell(String(latency.answers)),
		cell(`${latency.medianMilliseconds} ms`),
		cell(`${latency.percentile99Milliseconds} ms`),
		cell(`${latency.longestMilliseconds} ms`),
	].join('')));
}

function figureTable(report: BurnReport): string {
	return tableOf(['service', 'unavailable slot time', 'slots moved', 'slot imbalance', 'load imbalance'], report.figures.map(figures => [
		cell(figures.service),
		cell(`${(figures.unavailableSlotMilliseconds / 1000).toFixed(1)} s`),
		cell(String(figures.moves)),
		cell(figures.slotImbalance.toFixed(2)),
		cell(figures.loadImbalance.toFixed(2)),
	].join('')));
}

function plotFigure(burn: ObjectiveBurn): string {
	const title = escapeHtml(`${burn.objective.service}: ${burn.objective.name}, ${formatObjective(burn)}`);
	return `<figure><figcaption>${title}</figcaption>${plotPoints(burn.points, title)}</figure>`;
}

/** Renders the report as an HTML page. */
export function reportPage(report: BurnReport): string {
	const at = new Date(report.at).toISOString();
	const coverage = `<p${report.lacking.length > 0 ? ' class="lacking"' : ''}>${escapeHtml(coverageLine(report))}</p>`;
	return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Service-level burn, ${at}</title>
<style>${style}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>${at}</p>
${coverage}
<h2>Objectives</h2>
<p>A burn rate of 1 spends the budget exactly over the objective's period; above 1 it runs out early.</p>
${objectiveTable(report)}
<h2>Burn by the hour</h2>
<div class="plots">
${report.objectives.map(burn => plotFigure(burn)).join('\n')}
</div>
<h2>Latency over the last hour</h2>
${latencyTable(report)}
<h2>Ownership</h2>
${figureTable(report)}
</body>
</html>
`;
}
