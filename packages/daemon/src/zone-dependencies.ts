/**
 * Collaborators shared by the components of an instance's zone membership.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type LimitShare} from '@dogwooddeck/model/share';
import {type InFlightTracker} from '@dogwooddeck/ownership/drain';
import {type LeaseTerms} from '@dogwooddeck/ownership/terms';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {type ReportCollector} from './report-collector.js';

/** The timeout of a call to another instance. */
export const peerTimeoutMilliseconds: Milliseconds = 500;

/** Collaborators of each component. */
export type ZoneDependencies = {
	readonly self: InstanceRecord;
	readonly terms: LeaseTerms;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly clients: PeerClients;
	readonly inFlightTracker: InFlightTracker;
	/** This instance's own observations. */
	readonly ownReports: ReportCollector;
	/** Reports of the zone's members, which this instance forwards as steward. */
	readonly zoneReports: ReportCollector;
	readonly acceptShares: (shares: readonly LimitShare[]) => void;
	/** Whether a request is waiting for a share of a limit. */
	readonly isWaitingForShares: () => boolean;
	readonly log: Log;
};
