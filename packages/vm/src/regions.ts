/** Regions in which requests may run, and the vms that may see their bodies. */

import type {CustomerId, RegionId} from '@guavapitch/core';
import type {Route} from '@guavapitch/callers';
import type {Configuration} from './configuration.js';
import type {VmSettings} from './context.js';
import type {Member} from './members.js';

/** Returns all regions of the fleet. */
export const getKnownRegions = ({region, regions}: Pick<VmSettings, 'region' | 'regions'>): ReadonlySet<RegionId> => new Set([...regions.values(), ...(region === undefined ? [] : [region])]);

/**
 * Computes the regions in which the requests of a customer on a route may run; `undefined` if they may run anywhere.
 * Where both name regions, both apply. Where one of them names an unknown region, there is none: the operators' intention is then not known.
 */
export const computeAllowedRegions = (configuration: Configuration, settings: Pick<VmSettings, 'region' | 'regions'>, route: Route, customer: CustomerId): readonly RegionId[] | undefined => {
	const lists = [route.allowedRegions, configuration.allowedRegions.get(customer)].filter(list => list !== undefined);
	const [first, ...others] = lists;
	if (!first) {
		return undefined;
	}

	const known = getKnownRegions(settings);
	return lists.every(list => [...list].every(region => known.has(region)))
		? [...first].filter(region => others.every(list => list.has(region)))
		: [];
};

/** Filters the vms that may see the body of a request: those of the allowed regions and of this vm's own region, and this vm. */
export const filterPermitted = (
	members: readonly Member[],
	allowedRegions: readonly RegionId[] | undefined,
	settings: Pick<VmSettings, 'vm' | 'dataCentre' | 'region' | 'regions'>,
): readonly Member[] => {
	if (allowedRegions === undefined) {
		return members;
	}

	const ownRegion = settings.region ?? settings.regions.get(settings.dataCentre);
	return members.filter(({vm, dataCentre}) => {
		const region = settings.regions.get(dataCentre);
		return vm === settings.vm || (region !== undefined && (region === ownRegion || allowedRegions.includes(region)));
	});
};
