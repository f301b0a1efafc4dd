package org.cornelchute.policy.forward;

/**
 * One live endpoint as the directory lists it.
 *
 * @param id name of this incarnation
 * @param service service that it serves
 * @param address {@code ip:port}
 * @param domain failure domain
 * @param region region of that domain
 * @param slots calls that it runs at once
 * @param draining whether it takes no new calls
 * @param coldRemainingMillis how much longer it stays cold, at the time it was listed
 * @param startedAtMillis start of this incarnation in milliseconds since the epoch, 0 if not told
 * @param model model that it serves, empty if none
 * @param version version of that model's weights, 0 if it holds none
 */
public record EndpointSpec(
    String id,
    String service,
    String address,
    String domain,
    String region,
    int slots,
    boolean draining,
    long coldRemainingMillis,
    long startedAtMillis,
    String model,
    long version) {}
