/**
 * Request fingerprint: distinguishes a resend from a different request with the same operation key.
 */
import {createHash} from 'node:crypto';
import {type RequestHead} from './target.js';

/** Header fields that identify the sender and the type of the body: the response to another caller is never replayed. */
const identifyingFields = ['authorization', 'cookie', 'content-type'];

/** Returns a SHA-256 hash, in base64, over the method, the path, the identifying header fields and the body. */
export function fingerprintOf(head: RequestHead, body: Uint8Array | undefined): string {
	const fields = identifyingFields.map(name => head.headers[name] ?? null);
	const hash = createHash('sha256').update(JSON.stringify([head.method, head.path, fields]));
	return (body === undefined ? hash : hash.update(body)).digest('base64');
}
