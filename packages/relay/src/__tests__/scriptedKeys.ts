/** Key of the configuration. */
export const CONFIG_KEY = 'op/config';

/** Prefixes of the keys that entries write: registrations and quarantined requests. */
export const MEMBER_PREFIX = 'serving/entries/';
export const SUSPICION_PREFIX = 'serving/suspicions/';

/** Prefix of the keys that operators write. */
export const OPERATOR_PREFIX = 'op/';

/** Prefix of the keys by which operators evacuate zones. */
export const EVACUATION_PREFIX = 'op/evacuate/';

/** Prefix of the keys under which endpoints register. */
export const ENDPOINT_PREFIX = 'servers/';
