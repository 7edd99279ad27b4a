/**
 * What an instance tells of itself: to the balancer, to operators, to metrics
 * and to the other instances.
 */
import {type StatusAnswer} from '@dogwooddeck/configuration/messages';
import {type HealthApi, type Readiness} from '@dogwooddeck/front/api';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type Measures, MeasureName} from '@dogwooddeck/telemetry/measure';
import {measureProcess} from '@dogwooddeck/telemetry/process-measures';
import {type ControlVoter} from './control-voter.js';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {type MemberReport} from './operator-api.js';
import {type ZoneRunner} from './zone-runner.js';

/** The parts that are told of. */
export type StatusParts = {
	readonly self: InstanceRecord;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly zone: ZoneRunner;
	/** Absent on instances that don't vote. */
	readonly voter: () => ControlVoter | undefined;
	readonly isStopping: () => boolean;
	readonly measures: Measures;
};

/** What an instance tells of itself. */
export type InstanceStatus = HealthApi & {
	readonly status: () => Omit<StatusAnswer, 'applied' | 'revisions'>;
	/** Told to other instances. */
	readonly member: () => MemberReport;
};

function readinessOf({isStopping, zone}: StatusParts): Readiness {
	if (isStopping()) {
		return {ready: false, reason: 'the instance stops'};
	}

	return zone.holdsLease()
		? {ready: true, reason: 'a routing lease is held'}
		: {ready: false, reason: 'no routing lease is held'};
}

function statusOf(parts: StatusParts): ReturnType<InstanceStatus['status']> {
	const {self, holder, control, zone} = parts;
	const voter = parts.voter();
	const leader = control.leader();
	const steward = zone.steward();
	return {
		instance: self.name,
		incarnation: self.incarnation,
		region: self.region,
		zone: self.zone,
		...readinessOf(parts),
		voter: voter !== undefined,
		committed: voter?.committed() ?? holder.state().applied,
		...(leader === undefined ? {} : {leader}),
		...(steward === undefined ? {} : {steward}),
	};
}

function exposeMetrics(parts: StatusParts): string {
	const {measures, holder, zone} = parts;
	measures.set(MeasureName.applied, holder.state().applied);
	measures.set(MeasureName.ready, Number(readinessOf(parts).ready));
	measures.set(MeasureName.leader, Number(parts.voter()?.isLeader() ?? false));
	measures.set(MeasureName.steward, Number(zone.isSteward()));
	measureProcess(measures);
	return measures.expose();
}

/** Makes what tells of the parts. */
export function createInstanceStatus(parts: StatusParts): InstanceStatus {
	return {
		readiness: () => readinessOf(parts),
		status: () => statusOf(parts),
		metrics: () => exposeMetrics(parts),
		member: () => ({applied: parts.holder.state().applied, voter: parts.voter() !== undefined}),
	};
}
