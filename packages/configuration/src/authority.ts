/**
 * Who may write what. A token gives the right to one team's subtree; the
 * operators' own token gives every right. Only hashes of tokens are kept.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type TeamName} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {type ConfigurationState} from './tree.js';

/** The kinds of authority. */
export const AuthorityKind = {
	/** Every right. */
	operator: 'operator',
	/** The right to one team's subtree. */
	team: 'team',
} as const;

/** What a token gives the right to. */
export type Authority =
	| {readonly kind: typeof AuthorityKind.operator}
	| {readonly kind: typeof AuthorityKind.team; readonly team: TeamName};

/**
 * The hash of a token, as it is kept. Tokens are random and long, so that a
 * plain hash can't be searched; a password would need a slow hash.
 */
export function hashToken(token: string): string {
	return `sha256:${createHash('sha256').update(token).digest('base64url')}`;
}

function sameHash(one: string | undefined, other: string): boolean {
	const left = Buffer.from(one ?? '');
	const right = Buffer.from(other);
	return left.length === right.length && timingSafeEqual(left, right);
}

/** What the token with a given hash gives the right to. Fails with `unauthenticated`. */
export function authorityOf(state: ConfigurationState, tokenHash: string): Result<Authority, Failure> {
	if (sameHash(state.operatorTokenHash, tokenHash)) {
		return ok({kind: AuthorityKind.operator});
	}

	const subtree = state.teams.find(candidate => sameHash(candidate.tokenHash, tokenHash));
	return subtree === undefined
		? err(failure(FailureKind.unauthenticated, 'the token is not known'))
		: ok({kind: AuthorityKind.team, team: subtree.team});
}

/** Whether an authority covers a team's subtree. */
export function covers(authority: Authority, team: TeamName): boolean {
	return authority.kind === AuthorityKind.operator || authority.team === team;
}

/** Fails with `forbidden` if an authority doesn't cover a team's subtree. */
export function requireTeam(authority: Authority, team: TeamName): Result<Authority, Failure> {
	return covers(authority, team)
		? ok(authority)
		: err(failure(FailureKind.forbidden, `the token gives no right to the team "${team}"`));
}

/** Fails with `forbidden` if an authority is not the operators' own. */
export function requireOperator(authority: Authority): Result<Authority, Failure> {
	return authority.kind === AuthorityKind.operator
		? ok(authority)
		: err(failure(FailureKind.forbidden, 'the operators\' own token is needed'));
}
