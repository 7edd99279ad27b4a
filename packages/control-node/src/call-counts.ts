/**
 * Counts the calls between instances: each costs both sides processor time, most
 * of it independent of the payload.
 */
import {type MeshCall, meshCalls} from '@dogwooddeck/mesh/calls';
import {type CallListener} from '@dogwooddeck/mesh/client';
import {type MeshHandlers} from '@dogwooddeck/mesh/server';
import {type Fields} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';

/** The counts of one instance. */
export type CallCounts = {
	readonly onCall: CallListener;
	/** Wraps handlers so that they count the calls they receive. */
	readonly countReceived: (handlers: MeshHandlers) => MeshHandlers;
	/** Counts since the last call of this function, by kind of call, as `received/made/failed`. */
	readonly sinceLast: () => Fields;
};

type Count = {received: number; made: number; failed: number};

/** Creates the counts. */
export function countCalls(measures: Measures): CallCounts {
	const counts = new Map<MeshCall, Count>(meshCalls.map(call => [call, {received: 0, made: 0, failed: 0}]));

	function countReceivedCalls<Call extends MeshCall>(call: Call, handler: MeshHandlers[Call]): MeshHandlers[Call] {
		const counter = measures.counter(MeasureName.callsTaken, {call});
		return (async request => {
			counter.value += 1;
			counts.get(call)!.received += 1;
			return handler(request);
		}) as MeshHandlers[Call];
	}

	return {
		onCall(call, outcome) {
			const count = counts.get(call)!;
			count.made += 1;
			count.failed += outcome.isOk ? 0 : 1;
			measures.counter(MeasureName.callsMade, {call, outcome: outcome.isOk ? 'answered' : outcome.error.kind}).value += 1;
		},
		countReceived: handlers => Object.fromEntries(meshCalls.map(call => [call, countReceivedCalls(call, handlers[call])])) as MeshHandlers,
		sinceLast() {
			const used = [...counts].filter(([, {received, made}]) => received + made > 0);
			const fields = Object.fromEntries(used.map(([call, {received, made, failed}]) => [call, `${received}/${made}/${failed}`]));
			for (const call of meshCalls) {
				counts.set(call, {received: 0, made: 0, failed: 0});
			}

			return fields;
		},
	};
}
