/**
 * The HTTP API for operators and upstreams: JSON bodies, with failures as problem details.
 */
import {authorHeader} from '@dogwooddeck/configuration/messages';
import {FailureError} from '@dogwooddeck/model/failure';
import {
	Body, Controller, Get, Headers, HttpCode, Inject, Post, Query,
} from '@nestjs/common';
import {operatorApiToken} from './injection.js';
import {type OperatorApi, type ApiHandler, type ApiRequest} from './api.js';

type HeaderFields = Readonly<Record<string, string | undefined>>;
type QueryFields = Readonly<Record<string, unknown>>;

const bearerPattern = /^bearer\s+(\S+)$/iv;
const okStatus = 200;

function createApiRequest(headers: HeaderFields, query: QueryFields, body: unknown): ApiRequest {
	const singleValued = Object.entries(query).filter((pair): pair is [string, string] => typeof pair[1] === 'string');
	return {
		token: bearerPattern.exec(headers.authorization ?? '')?.[1] ?? '',
		author: headers[authorHeader] ?? '',
		query: Object.fromEntries(singleValued),
		body,
	};
}

async function invokeHandler(handler: ApiHandler, request: ApiRequest): Promise<unknown> {
	const result = await handler(request);
	if (result.isErr) {
		throw new FailureError(result.error);
	}

	return result.value;
}

/** Handles `/announce` and all paths under `/operator`. */
@Controller()
export class OperatorController {
	constructor(@Inject(operatorApiToken) private readonly api: OperatorApi) {}

	@Post('announce')
	@HttpCode(okStatus)
	async announce(@Headers() headers: HeaderFields, @Body() body: unknown): Promise<unknown> {
		return invokeHandler(this.api.announce, createApiRequest(headers, {}, body));
	}

	@Post('operator/apply')
	@HttpCode(okStatus)
	async apply(@Headers() headers: HeaderFields, @Body() body: unknown): Promise<unknown> {
		return invokeHandler(this.api.apply, createApiRequest(headers, {}, body));
	}

	@Post('operator/move')
	@HttpCode(okStatus)
	async move(@Headers() headers: HeaderFields, @Body() body: unknown): Promise<unknown> {
		return invokeHandler(this.api.move, createApiRequest(headers, {}, body));
	}

	@Post('operator/drain')
	@HttpCode(okStatus)
	async drain(@Headers() headers: HeaderFields, @Body() body: unknown): Promise<unknown> {
		return invokeHandler(this.api.drain, createApiRequest(headers, {}, body));
	}

	@Post('operator/zone-declare-lost')
	@HttpCode(okStatus)
	async zoneDeclareLost(@Headers() headers: HeaderFields, @Body() body: unknown): Promise<unknown> {
		return invokeHandler(this.api.zoneDeclareLost, createApiRequest(headers, {}, body));
	}

	@Post('operator/token')
	@HttpCode(okStatus)
	async token(@Headers() headers: HeaderFields, @Body() body: unknown): Promise<unknown> {
		return invokeHandler(this.api.token, createApiRequest(headers, {}, body));
	}

	@Get('operator/configuration')
	async configuration(@Headers() headers: HeaderFields, @Query() query: QueryFields): Promise<unknown> {
		return invokeHandler(this.api.configuration, createApiRequest(headers, query, undefined));
	}

	@Get('operator/history')
	async history(@Headers() headers: HeaderFields, @Query() query: QueryFields): Promise<unknown> {
		return invokeHandler(this.api.history, createApiRequest(headers, query, undefined));
	}

	@Get('operator/owners')
	async owners(@Headers() headers: HeaderFields, @Query() query: QueryFields): Promise<unknown> {
		return invokeHandler(this.api.owners, createApiRequest(headers, query, undefined));
	}

	@Get('operator/status')
	async status(@Headers() headers: HeaderFields, @Query() query: QueryFields): Promise<unknown> {
		return invokeHandler(this.api.status, createApiRequest(headers, query, undefined));
	}

	@Get('operator/members')
	async members(@Headers() headers: HeaderFields, @Query() query: QueryFields): Promise<unknown> {
		return invokeHandler(this.api.members, createApiRequest(headers, query, undefined));
	}

	@Get('operator/burn')
	async burn(@Headers() headers: HeaderFields, @Query() query: QueryFields): Promise<unknown> {
		return invokeHandler(this.api.burn, createApiRequest(headers, query, undefined));
	}
}
