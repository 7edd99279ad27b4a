/**
 * Finds the route of a request by its host and the longest matching path prefix.
 */
import {type Items, type Route, definedItems} from '@dogwooddeck/directory/item';

/** A route and its name. */
export type NamedRoute = Route & {readonly name: string};

/** All routes by host, those with the longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly NamedRoute[]>;

/** Creates the table of all routes that are not dropped. */
export function createRouteTable(routes: Items['route']): RouteTable {
	const byHost = new Map<string, NamedRoute[]>();
	for (const [name, route] of definedItems(routes)) {
		const hostname = route.hostname.toLowerCase();
		const routesOfHost = byHost.get(hostname) ?? [];
		routesOfHost.push({...route, name});
		byHost.set(hostname, routesOfHost);
	}

	for (const routesOfHost of byHost.values()) {
		routesOfHost.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
	}

	return byHost;
}

const portSuffix = /:\d+$/v;

/** Returns the route for a host and a path; undefined if none matches. */
export function findRoute(table: RouteTable, host: string, path: string): NamedRoute | undefined {
	return table.get(host.toLowerCase().replace(portSuffix, ''))?.find(({pathPrefix}) => path.startsWith(pathPrefix));
}
