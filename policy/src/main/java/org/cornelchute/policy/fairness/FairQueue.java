package org.cornelchute.policy.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A bounded queue that shares service between workspaces in proportion to their weights.
 *
 * <p>Implements start-time fair queueing (Goyal, Vin and Cheng, 1996). The workspace with the
 * smallest start tag is served first, and its tag then increases by cost divided by weight. Costs
 * are estimates in tokens; {@link #adjustCharge} corrects the charge once the actual cost is known.
 * Priorities order only the requests of the same workspace.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {

  /** Number of flows at which idle flows are evicted. */
  private static final int FLOW_EVICTION_THRESHOLD = 4_096;

  private final int capacity;
  private final Map<String, Flow<T>> flows = new HashMap<>();
  private double virtualTime;
  private long arrivals;
  private int size;

  /** Creates an empty queue for at most {@code capacity} items. */
  public FairQueue(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the number of queued items. */
  public int size() {
    return size;
  }

  /** Returns the number of queued items of a workspace. */
  public int size(String workspace) {
    Flow<T> flow = flows.get(workspace);
    return flow == null ? 0 : flow.items.size();
  }

  /**
   * Adds an item.
   *
   * <p>If the queue is full, the last item of the workspace with the most queued items relative to
   * its weight is removed, so that a flood from one workspace displaces only its own items.
   *
   * @return the item that was removed, which may be the one offered; empty if the queue was not
   *     full
   */
  public Optional<T> offer(String workspace, int weight, int priority, int cost, T item) {
    Flow<T> flow = flowOf(workspace, weight);
    if (flow.items.isEmpty()) {
      flow.startTag = Math.max(flow.startTag, virtualTime);
    }
    flow.items.put(new Position(-priority, arrivals++), new Item<>(item, cost));
    size++;
    if (size <= capacity) {
      return Optional.empty();
    }
    Flow<T> longest = flow;
    for (Flow<T> other : flows.values()) {
      if ((double) other.items.size() / other.weight
          > (double) longest.items.size() / longest.weight) {
        longest = other;
      }
    }
    size--;
    return Optional.of(longest.items.pollLastEntry().getValue().item);
  }

  /**
   * Puts a polled item back ahead of its workspace's other items of equal priority, and refunds its
   * cost.
   */
  public void requeue(String workspace, int weight, int priority, int cost, T item) {
    Flow<T> flow = flowOf(workspace, weight);
    flow.startTag -= (double) cost / flow.weight;
    flow.items.put(new Position(-priority, -arrivals++), new Item<>(item, cost));
    size++;
  }

  /** Removes and returns the next item in fair order that satisfies {@code servable}. */
  public Optional<T> poll(Predicate<T> servable) {
    return poll(servable, passed -> {});
  }

  /**
   * Removes and returns the next item in fair order that satisfies {@code servable}. Only the first
   * item of each workspace is considered.
   *
   * @param passedOver receives each item that came first in fair order but was not servable, if
   *     another item was returned instead
   */
  public Optional<T> poll(Predicate<T> servable, Consumer<T> passedOver) {
    List<T> passed = new ArrayList<>();
    List<Flow<T>> ordered = new ArrayList<>();
    for (Flow<T> flow : flows.values()) {
      if (!flow.items.isEmpty()) {
        ordered.add(flow);
      }
    }
    ordered.sort((a, b) -> Double.compare(a.startTag, b.startTag));
    for (Flow<T> flow : ordered) {
      Item<T> first = flow.items.firstEntry().getValue();
      if (!servable.test(first.item)) {
        passed.add(first.item);
        continue;
      }
      flow.items.pollFirstEntry();
      size--;
      virtualTime = Math.max(virtualTime, flow.startTag);
      flow.startTag += (double) first.cost / flow.weight;
      passed.forEach(passedOver);
      return Optional.of(first.item);
    }
    return Optional.empty();
  }

  /**
   * Corrects the charge of a workspace after the actual cost of an item is known.
   *
   * <p>A credit, which is a negative correction, does not move the start tag below the current
   * virtual time: accumulated credits would let the workspace overtake all newly arriving
   * workspaces.
   *
   * @param correction actual cost minus estimated cost, in tokens
   */
  public void adjustCharge(String workspace, int correction) {
    Flow<T> flow = flows.get(workspace);
    if (flow != null) {
      double corrected = flow.startTag + (double) correction / flow.weight;
      flow.startTag =
          correction < 0 ? Math.max(corrected, Math.min(flow.startTag, virtualTime)) : corrected;
    }
  }

  /** Removes and returns all items that satisfy {@code condition}. */
  public List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (Flow<T> flow : flows.values()) {
      Iterator<Item<T>> items = flow.items.values().iterator();
      while (items.hasNext()) {
        Item<T> next = items.next();
        if (condition.test(next.item)) {
          items.remove();
          removed.add(next.item);
          size--;
        }
      }
    }
    return removed;
  }

  private Flow<T> flowOf(String workspace, int weight) {
    if (flows.size() >= FLOW_EVICTION_THRESHOLD) {
      flows.values().removeIf(idle -> idle.items.isEmpty() && idle.startTag <= virtualTime);
    }
    Flow<T> flow = flows.computeIfAbsent(workspace, id -> new Flow<>());
    flow.weight = Math.max(1, weight);
    return flow;
  }

  private static final class Flow<T> {
    private final TreeMap<Position, Item<T>> items = new TreeMap<>();
    private double startTag;
    private int weight = 1;
  }

  private record Item<T>(T item, int cost) {}

  private record Position(int rank, long arrival) implements Comparable<Position> {
    @Override
    public int compareTo(Position other) {
      return rank != other.rank
          ? Integer.compare(rank, other.rank)
          : Long.compare(arrival, other.arrival);
    }
  }
}
