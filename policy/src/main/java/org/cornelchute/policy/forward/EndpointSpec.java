package org.cornelchute.policy.forward;

/**
 * One live endpoint as listed in the directory.
 *
 * @param id name of this incarnation
 * @param service service that the endpoint belongs to
 * @param address address as {@code ip:port}
 * @param domain failure domain
 * @param region region of the failure domain
 * @param slots number of calls that the endpoint runs concurrently
 * @param draining whether the endpoint takes no new calls
 * @param coldRemainingMillis time for which the endpoint stays cold, from the time of listing
 * @param startedAtMillis start of this incarnation in milliseconds since the epoch, 0 if unknown
 * @param model model that the endpoint serves, empty if none
 * @param version version of the model's weights, 0 if none are loaded
 * @param revision number of the directory that changes whenever the endpoint writes its entry
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
    long version,
    long revision) {

  /** Creates an endpoint whose entry in the directory was not written again since it started. */
  public EndpointSpec(
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
      long version) {
    this(
        id,
        service,
        address,
        domain,
        region,
        slots,
        draining,
        coldRemainingMillis,
        startedAtMillis,
        model,
        version,
        0);
  }
}
