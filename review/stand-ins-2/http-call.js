/**
 * One HTTP call whose whole answer is gathered.
 */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/** Makes a call. Returns undefined if no whole answer came in time. */
export async function httpCall({agent, headers = {}, body = '', timeoutMilliseconds, ...target}) {
	return new Promise(resolve => {
		const finish = answer => {
			clearTimeout(timer);
			resolve(answer);
		};

		const call = request({...target, agent: agent ?? false, headers: {...headers, 'content-length': Buffer.byteLength(body)}}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				finish({status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString()});
			});
			response.on('error', () => {
				finish(undefined);
			});
		});
		const timer = setTimeout(() => {
			call.destroy();
			resolve(undefined);
		}, timeoutMilliseconds);
		call.on('error', () => {
			finish(undefined);
		});
		call.end(body);
	});
}
