/**
 * Admits requests within the contracted limits.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type RequestHead} from '@dogwooddeck/routing/target';
import {ok, type Result} from 'true-myth/result';
import {type Opened} from './request-path.js';

/** Admits requests within the contracted limits. */
export type Limiter = {
	/** Fails with `limitReached` where a limit is spent. */
	readonly admit: (opened: Opened, head: RequestHead) => Result<undefined, Failure>;
};

/** Admits everything. */
export function createLimiter(): Limiter {
	return {admit: () => ok(undefined)};
}
