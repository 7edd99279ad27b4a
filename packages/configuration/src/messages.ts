/**
 * The JSON bodies of the operators' HTTP surface. Requests have strict schemas
 * with bounded sizes; answers have types.
 */
import {type Assignment} from '@dogwooddeck/model/assignment';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type Failure} from '@dogwooddeck/model/failure';
import {
	type FenceNumber, type Incarnation, type InstanceName, type LogIndex, type OperationIdentifier, type RegionName, type ServiceName,
	type Slot, type TeamName, type UpstreamName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {type Result} from 'true-myth/result';
import * as v from 'valibot';
import {contractSchema} from './contract-schema.js';
import {
	bounds, boundedList, formedText, largestSubtreeServices, nameField, operationField, revisionField, serviceNameField, upstreamNameField,
	wholeNumber,
} from './field.js';
import {parseStrictly, strictObject} from './strict-schema.js';
import {type ConfigurationAccepted, type HistoryEntry, type Revision} from './tree.js';

/** The paths of the operators' surface. */
export const OperatorPath = {
	apply: '/operator/apply',
	configuration: '/operator/configuration',
	history: '/operator/history',
	owners: '/operator/owners',
	status: '/operator/status',
	members: '/operator/members',
	move: '/operator/move',
	drain: '/operator/drain',
	zoneDeclareLost: '/operator/zone-declare-lost',
	token: '/operator/token',
	burn: '/operator/burn',
} as const;

/** One of the paths of the operators' surface. */
export type OperatorPath = (typeof OperatorPath)[keyof typeof OperatorPath];

/** The largest body that the operators' surface takes, in bytes. */
export const largestOperatorBody = 4_194_304;

/** The header field with a label for the history that says who asked for a change. */
export const authorHeader = 'dogwooddeck-author';

/** The most characters of that label: it stands in the replicated log. */
export const longestAuthor = 128;

/** What has to be typed to declare a zone lost: it tells the consequence. */
export function declareLostConfirmation(zone: ZoneName): string {
	return `the upstreams of ${zone} are stopped`;
}

const bodies = {
	apply: strictObject({
		team: nameField, operation: operationField, base: revisionField, services: boundedList(contractSchema, largestSubtreeServices),
	}),
	move: strictObject({
		service: serviceNameField, slot: wholeNumber(0, 2 * bounds.slots[1]), upstream: upstreamNameField, operation: operationField,
	}),
	drain: strictObject({service: serviceNameField, upstream: upstreamNameField, operation: operationField}),
	zoneDeclareLost: strictObject({
		zone: nameField, operation: operationField, confirm: v.pipe(v.string(), v.maxLength(200)),
	}),
	token: strictObject({
		team: nameField, operation: operationField, token: formedText(/^[\w.~-]{24,256}$/u, 'a token of 24 to 256 letters, digits and "-_.~"'),
	}),
};

/** A team's whole wanted subtree, with the revision that it builds on. */
export type ApplyRequest = {
	readonly team: TeamName;
	readonly operation: OperationIdentifier;
	readonly base: Revision;
	readonly services: readonly ServiceContract[];
};

/** A slot is to have another owner. */
export type MoveRequest = {
	readonly service: ServiceName;
	readonly slot: Slot;
	readonly upstream: UpstreamName;
	readonly operation: OperationIdentifier;
};

/** An upstream is to give its keys away. */
export type DrainRequest = {
	readonly service: ServiceName;
	readonly upstream: UpstreamName;
	readonly operation: OperationIdentifier;
};

/** A zone is declared lost, so that its keys may be given to others. */
export type ZoneDeclareLostRequest = {
	readonly zone: ZoneName;
	readonly operation: OperationIdentifier;
	/** The words of `declareLostConfirmation`. */
	readonly confirm: string;
};

/** A team's token is set or replaced. */
export type TokenRequest = {
	readonly team: TeamName;
	readonly operation: OperationIdentifier;
	readonly token: string;
};

const surface = 'request';

/** Reads the body of `POST /operator/apply`. Fails with `settingsInvalid`. */
export function parseApplyRequest(body: unknown): Result<ApplyRequest, Failure> {
	return parseStrictly(bodies.apply, body, surface);
}

/** Reads the body of `POST /operator/move`. Fails with `settingsInvalid`. */
export function parseMoveRequest(body: unknown): Result<MoveRequest, Failure> {
	return parseStrictly(bodies.move, body, surface);
}

/** Reads the body of `POST /operator/drain`. Fails with `settingsInvalid`. */
export function parseDrainRequest(body: unknown): Result<DrainRequest, Failure> {
	return parseStrictly(bodies.drain, body, surface);
}

/** Reads the body of `POST /operator/zone-declare-lost`. Fails with `settingsInvalid`. */
export function parseZoneDeclareLostRequest(body: unknown): Result<ZoneDeclareLostRequest, Failure> {
	return parseStrictly(bodies.zoneDeclareLost, body, surface);
}

/** Reads the body of `POST /operator/token`. Fails with `settingsInvalid`. */
export function parseTokenRequest(body: unknown): Result<TokenRequest, Failure> {
	return parseStrictly(bodies.token, body, surface);
}

/** The answer to `apply` and `token`. */
export type ApplyAnswer = ConfigurationAccepted;

/** The answer to `move`, `drain` and `zone-declare-lost`. */
export type WriteAnswer = {
	readonly operation: OperationIdentifier;
	/** The index in the log of the accepted change. */
	readonly index: LogIndex;
};

/** The answer to `GET /operator/configuration?team=`. */
export type ConfigurationAnswer = {
	readonly team: TeamName;
	readonly revision: Revision;
	readonly services: readonly ServiceContract[];
};

/** The answer to `GET /operator/history?team=`. */
export type HistoryAnswer = {
	readonly team: TeamName;
	/** Newest last. */
	readonly entries: readonly HistoryEntry[];
};

/** The owner of one slot. */
export type OwnerAnswer = {
	readonly slot: Slot;
	/** For a hot key with an assignment of its own. */
	readonly key?: string;
	readonly phase: Assignment['phase'];
	readonly upstream?: UpstreamName;
	readonly incarnation?: Incarnation;
	readonly zone?: ZoneName;
	readonly fence?: FenceNumber;
};

/** The answer to `GET /operator/owners?service=`. */
export type OwnersAnswer = {
	readonly service: ServiceName;
	/** The index in the log that the owners were read at. */
	readonly index: LogIndex;
	readonly owners: readonly OwnerAnswer[];
};

/** The answer to `GET /operator/status`: what one instance knows. */
export type StatusAnswer = {
	readonly instance: InstanceName;
	readonly incarnation: Incarnation;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly ready: boolean;
	/** Why the instance is ready or not. */
	readonly reason: string;
	/** Whether the instance is a voter, and which instance it takes for the leader. */
	readonly voter: boolean;
	readonly leader?: InstanceName;
	/** The zone's steward, if one is known. */
	readonly steward?: InstanceName;
	readonly committed: LogIndex;
	readonly applied: LogIndex;
	/** The revision of each team that is in force on the instance. */
	readonly revisions: ReadonlyArray<{readonly team: TeamName; readonly revision: Revision}>;
};

/** An instance, and how far it has applied the log. */
export type MemberAnswer = InstanceRecord & {
	/** The newest log entry that the instance has acknowledged. */
	readonly applied: LogIndex;
	/** Whether the instance has been heard from of late. */
	readonly alive: boolean;
	readonly voter: boolean;
};

/** The answer to `GET /operator/members`. A revision is in force where `applied` has reached it. */
export type MembersAnswer = {
	readonly instances: readonly MemberAnswer[];
	readonly upstreams: readonly UpstreamRecord[];
};
