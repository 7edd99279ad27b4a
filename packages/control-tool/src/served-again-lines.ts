/**
 * The bounds on the time until keys are served again, as lines for a person.
 */
import {defaultServedAgainMilliseconds, servedAgainBound, type ServedAgainBound} from '@dogwooddeck/control/served-again';
import {table} from './output.js';
import {type TeamFolder} from './team-folder.js';

const heads = ['served again after a loss', 'at most', 'detection', 'revocation', 'drain', 'grant', 'spread', 'stated'] as const;

/** The bound of each service that a folder declares. */
export function servedAgainBounds(folder: TeamFolder): readonly ServedAgainBound[] {
	return folder.services.map(contract => servedAgainBound(contract));
}

function boundRow(bound: ServedAgainBound): readonly string[] {
	const times = [
		bound.totalMilliseconds,
		bound.detectionMilliseconds,
		bound.revocationMilliseconds,
		bound.drainMilliseconds,
		bound.grantMilliseconds,
		bound.spreadMilliseconds,
	];
	const stated = bound.withinMilliseconds === undefined ? 'nothing' : `${bound.withinMilliseconds} ms`;
	return [bound.service, ...times.map(time => `${time} ms`), stated];
}

/** A table of bounds, and a warning for each that is more than the default. */
export function servedAgainLines(bounds: readonly ServedAgainBound[]): readonly string[] {
	const warnings = bounds.filter(bound => bound.exceedsDefault).map(bound =>
		`warning: ${bound.service} may be without an owner for ${bound.totalMilliseconds} ms after a loss, more than ${defaultServedAgainMilliseconds} ms`);
	return bounds.length === 0 ? [] : [...table(heads, bounds.map(bound => boundRow(bound))), ...warnings];
}
