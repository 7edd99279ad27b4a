/**
 * Reports an instance's state: readiness for the balancer, status for operators,
 * metrics, and the member report for the other instances.
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

/** The components that the status is read from. */
export type InstanceStatusDependencies = {
	readonly self: InstanceRecord;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly zone: ZoneRunner;
	/** Undefined on instances that don't vote. */
	readonly voter: () => ControlVoter | undefined;
	readonly isStopping: () => boolean;
	readonly measures: Measures;
};

/** The reports about this instance. */
export type InstanceStatus = HealthApi & {
	readonly status: () => Omit<StatusAnswer, 'applied' | 'revisions'>;
	/** The report that other instances collect. */
	readonly member: () => MemberReport;
};

function readinessOf({isStopping, zone}: InstanceStatusDependencies): Readiness {
	if (isStopping()) {
		return {ready: false, reason: 'the instance stops'};
	}

	return zone.holdsLease()
		? {ready: true, reason: 'a routing lease is held'}
		: {ready: false, reason: 'no routing lease is held'};
}

function statusOf(dependencies: InstanceStatusDependencies): ReturnType<InstanceStatus['status']> {
	const {self, holder, control, zone} = dependencies;
	const voter = dependencies.voter();
	const leader = control.leader();
	const steward = zone.steward();
	return {
		instance: self.name,
		incarnation: self.incarnation,
		region: self.region,
		zone: self.zone,
		...readinessOf(dependencies),
		voter: voter !== undefined,
		committed: voter?.committed() ?? holder.state().applied,
		...(leader === undefined ? {} : {leader}),
		...(steward === undefined ? {} : {steward}),
	};
}

function exposeMetrics(dependencies: InstanceStatusDependencies): string {
	const {measures, holder, zone} = dependencies;
	measures.set(MeasureName.applied, holder.state().applied);
	measures.set(MeasureName.ready, Number(readinessOf(dependencies).ready));
	measures.set(MeasureName.leader, Number(dependencies.voter()?.isLeader() ?? false));
	measures.set(MeasureName.steward, Number(zone.isSteward()));
	measureProcess(measures);
	return measures.expose();
}

/** Creates the reports over an instance's components. */
export function createInstanceStatus(dependencies: InstanceStatusDependencies): InstanceStatus {
	return {
		readiness: () => readinessOf(dependencies),
		status: () => statusOf(dependencies),
		metrics: () => exposeMetrics(dependencies),
		member: () => ({applied: dependencies.holder.state().applied, voter: dependencies.voter() !== undefined}),
	};
}
