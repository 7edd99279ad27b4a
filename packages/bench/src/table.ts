/**
 * Replays traces under policies and prints the figures as a table.
 */
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {createSlotHash, type SlotHash} from '@dogwooddeck/placement/hash';
import {detect} from './detection.js';
import {addMeasures, type Measures} from './measures.js';
import {createPolicies, type PlannerMaker} from './policies.js';
import {replayService} from './replay.js';
import {deployments, type StatedOutcome, type Trace} from './trace.js';

/** The figures of one trace under one policy. */
export type Row = {
	readonly trace: string;
	readonly policy: string;
	readonly measures: Measures;
};

/** Replays all services of a trace under a policy. */
export function replayTrace(trace: Trace, maker: PlannerMaker, hash: SlotHash, detection = detect(trace)): Measures {
	const {services} = deployments[trace.deployment]!;
	return addMeasures(services.map(service => replayService(trace, service, detection, maker(), hash)));
}

function mean(sum: number, count: number): number {
	return sum / Math.max(1, count);
}

/** The figures that a trace states. */
export function toOutcome(measures: Measures): StatedOutcome {
	const round = (value: number) => Number(value.toFixed(3));
	return {
		unavailableKeySeconds: Math.round(measures.unavailableKeySeconds),
		moves: measures.moves,
		forcedMoves: measures.forcedMoves,
		keyImbalance: round(mean(measures.keyImbalanceSum, measures.samples)),
		loadImbalance: round(mean(measures.loadImbalanceSum, measures.samples)),
	};
}

type Column = {readonly title: string; readonly cell: (row: Row) => string};

const bytesPerMegabyte = 1_000_000;

const columns: readonly Column[] = [
	{title: 'trace', cell: row => row.trace},
	{title: 'policy', cell: row => row.policy},
	{title: 'keys max/mean', cell: ({measures}) => mean(measures.keyImbalanceSum, measures.samples).toFixed(2)},
	{title: 'load max/mean', cell: ({measures}) => mean(measures.loadImbalanceSum, measures.samples).toFixed(2)},
	{title: 'moves', cell: ({measures}) => String(measures.moves)},
	{title: 'least', cell: ({measures}) => String(measures.forcedMoves)},
	{title: 'moves/event', cell: ({measures}) => mean(measures.moves, measures.events).toFixed(2)},
	{title: 'least/event', cell: ({measures}) => mean(measures.forcedMoves, measures.events).toFixed(2)},
	{title: 'keys moved', cell: ({measures}) => String(measures.keysMoved)},
	{title: 'unavailable key-s', cell: ({measures}) => String(Math.round(measures.unavailableKeySeconds))},
	{title: 'but for cuts', cell: ({measures}) => String(Math.round(measures.unavailableKeySeconds - measures.cutKeySeconds))},
	{title: 'link MB', cell: ({measures}) => (measures.linkBytes / bytesPerMegabyte).toFixed(1)},
	{title: 'refused ppm', cell: ({measures}) => (1e6 * mean(measures.refused, measures.requests)).toFixed(0)},
	{title: 'mean ms', cell: ({measures}) => mean(measures.latencySum, measures.samples).toFixed(2)},
	{title: 'p99 ms', cell: ({measures}) => mean(measures.highLatencySum, measures.samples).toFixed(1)},
];

/** The rows as lines of a table for people. */
export function formatTable(rows: readonly Row[]): string {
	const cells = [columns.map(({title}) => title), ...rows.map(row => columns.map(({cell}) => cell(row)))];
	const widths = columns.map((_, column) => Math.max(...cells.map(line => line[column]!.length)));
	const [head, ...body] = cells.map(line => `| ${line.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`);
	return [head!, `|${widths.map(width => '-'.repeat(width + 2)).join('|')}|`, ...body].join('\n');
}

/** Replays every trace under every policy, or those named. */
export async function compare(traces: readonly Trace[], names?: readonly string[]): Promise<readonly Row[]> {
	const hash = await createSlotHash();
	const policies = Object.entries(createPolicies(hash)).filter(([name]) => names?.includes(name) ?? true);
	const rows = traces.flatMap(trace => {
		const detection = detect(trace);
		return policies.map(([policy, maker]): Row => ({trace: trace.name, policy, measures: replayTrace(trace, maker, hash, detection)}));
	});
	const totals = Object.keys(deployments).flatMap(deployment => policies.map(([policy]): Row => ({
		trace: `${deployment} in all`,
		policy,
		measures: addMeasures(rows.filter(row => row.policy === policy && row.trace.startsWith(`${deployment}-`)).map(row => row.measures)),
	})));
	return [...rows, ...totals];
}

/** Our policy in the traces with cuts, once holding and once taking over. */
export async function compareCuts(traces: readonly Trace[]): Promise<readonly Row[]> {
	const hash = await createSlotHash();
	const cuts = traces.filter(trace => trace.events.some(event => event.kind === 'zoneCut' || event.kind === 'regionsCut'));
	const maker = createPolicies(hash).ours;
	return cuts.flatMap(trace => Object.values(PartitionPolicy).map((whenCut): Row => ({
		trace: trace.name, policy: whenCut, measures: replayTrace({...trace, whenCut}, maker, hash),
	})));
}
