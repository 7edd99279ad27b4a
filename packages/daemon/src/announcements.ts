/**
 * Handles announcements of upstreams: validates each, passes it on and answers with
 * the grants of the upstream.
 */
import {
	addressField, nameField, serviceNameField, upstreamNameField,
} from '@dogwooddeck/configuration/field';
import {parseStrictly, strictObject} from '@dogwooddeck/configuration/strict-schema';
import {contractOf} from '@dogwooddeck/configuration/tree';
import {type ControlState} from '@dogwooddeck/control/state';
import {type ApiHandler} from '@dogwooddeck/front/api';
import {checkAnnouncement} from '@dogwooddeck/membership/registry';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type Announcement} from '@dogwooddeck/model/registry';
import {sameSecret} from '@dogwooddeck/wire/secret';
import {err, type Result} from 'true-myth/result';
import * as v from 'valibot';
import {type ControlHolder} from './control-holder.js';
import {grantsOf, type SlotGrant} from './slot-grants.js';

/** The answer to an accepted announcement. */
export type AnnouncementAnswer = {
	readonly accepted: true;
	readonly grants: readonly SlotGrant[];
};

const schema = strictObject({
	service: serviceNameField,
	name: upstreamNameField,
	incarnation: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
	region: nameField,
	zone: nameField,
	address: addressField,
	leaving: v.boolean(),
	load: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
});

function validateAnnouncement(control: ControlState, body: unknown): Result<Announcement, Failure> {
	const announcement = parseStrictly(schema, body, 'announcement');
	return announcement.andThen(read => contractOf(control.configuration, read.service) === undefined
		? err(failure(FailureKind.notFound, `there is no service ${read.service}`))
		: checkAnnouncement(control.membership, read));
}

/** The collaborators of the announcement handler. */
export type AnnouncementDependencies = {
	readonly holder: Pick<ControlHolder, 'state'>;
	readonly key: string;
	/** Whether this instance is stopping. An announcement accepted now might no longer be passed on. */
	readonly isStopping: () => boolean;
	readonly accept: (announcement: Announcement) => void;
};

/** Creates the handler of announcements. Fails with `unauthenticated`, `notReady`, `settingsInvalid`, `notFound` and `superseded`. */
export function createAnnouncementHandler({holder, key, isStopping, accept}: AnnouncementDependencies): ApiHandler {
	return async ({token, body}) => {
		if (!sameSecret(token, key)) {
			return err(failure(FailureKind.unauthenticated, 'the announcement carries no right token'));
		}

		if (isStopping()) {
			return err(failure(FailureKind.notReady, 'the instance is stopping; announce to another instance'));
		}

		const control = holder.state();
		return validateAnnouncement(control, body).map((announcement): AnnouncementAnswer => {
			accept(announcement);
			return {accepted: true, grants: grantsOf(control, announcement)};
		});
	};
}
