/**
 * Control instances that communicate over real connections, each with its own data folder.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {MeasureName} from '@dogwooddeck/telemetry/measure';
import {type Running, withNodes} from './nodes.js';
import {type ControlNode} from '@dogwooddeck/control-node/control-node';

async function declare(node: ControlNode, version: number): Promise<boolean> {
	const declared = await node.declare([{kind: 'service', name: 's', item: {version, value: {keyed: false, maxConnections: 10}, document: String(version)}}]);
	return declared.isOk;
}

async function declareUntilAccepted(node: ControlNode): Promise<void> {
	for (let tried = 0; tried < 100; tried += 1) {
		if (await declare(node, 1)) {
			return;
		}

		await pause(50);
	}

	assert.fail('no leader within 5 s');
}

function deliverCalls({measures}: Running): {readonly received: number; readonly made: number} {
	return {
		received: measures.counter(MeasureName.callsTaken, {call: 'deliver'}).value,
		made: measures.counter(MeasureName.callsMade, {call: 'deliver', outcome: 'answered'}).value,
	};
}

/** Maximum ratio of `deliver` calls that a follower makes to those it receives: answers are piggybacked on the responses. */
const maximumSeparateCalls = 0.2;

test('control nodes: followers answer the leader without separate calls', async () => withNodes(async running => {
	await declareUntilAccepted(running[0]!.node);
	const before = running.map(one => deliverCalls(one));
	for (let version = 2; version < 60; version += 1) {
		assert.ok(await declare(running[0]!.node, version));
	}

	await pause(500);
	const during = running.map((one, position) => {
		const {received, made} = deliverCalls(one);
		return {received: received - before[position]!.received, made: made - before[position]!.made};
	});
	const [leader, ...followers] = [...during].sort((one, other) => other.made - one.made);
	assert.ok(leader!.made > 100);
	for (const {received, made} of followers) {
		assert.ok(made <= received * maximumSeparateCalls, `${made} calls made, ${received} received`);
	}
}));
