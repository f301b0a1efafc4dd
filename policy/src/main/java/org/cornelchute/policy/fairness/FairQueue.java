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
 * A bounded queue that shares service between workspaces by weight.
 *
 * <p>Start-time fair queueing; source: Goyal, Vin and Cheng, 1996. The workspace with the smallest
 * start tag goes first and its tag grows by cost over weight. Costs are tokens; an estimate is
 * corrected by {@link #adjustCharge} when the true cost is known. Priorities order requests inside
 * one workspace only.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {

  /** A lane idle for so long, counted in other lanes' service, is forgotten. */
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

  /** Returns the number of items waiting. */
  public int size() {
    return size;
  }

  /** Returns the number of items that a workspace has waiting. */
  public int size(String workspace) {
    Flow<T> lane = flows.get(workspace);
    return lane == null ? 0 : lane.items.size();
  }

  /**
   * Adds an item.
   *
   * <p>When the queue is full, the workspace that has most waiting in relation to its weight gives
   * up its newest item, so that a flood displaces only itself.
   *
   * @return the item that found no room, which may be the one offered; empty if all have room
   */
  public Optional<T> offer(String workspace, int weight, int priority, int cost, T item) {
    Flow<T> lane = flowOf(workspace, weight);
    if (lane.items.isEmpty()) {
      lane.startTag = Math.max(lane.startTag, virtualTime);
    }
    lane.items.put(new Position(-priority, arrivals++), new Item<>(item, cost));
    size++;
    if (size <= capacity) {
      return Optional.empty();
    }
    Flow<T> longest = lane;
    for (Flow<T> l : flows.values()) {
      if ((double) l.items.size() / l.weight > (double) longest.items.size() / longest.weight) {
        longest = l;
      }
    }
    size--;
    return Optional.of(longest.items.pollLastEntry().getValue().item);
  }

  /** Puts an item back that was polled but could not be served, ahead of its workspace's others. */
  public void requeue(String workspace, int weight, int priority, int cost, T item) {
    Flow<T> lane = flowOf(workspace, weight);
    lane.startTag -= (double) cost / lane.weight;
    lane.items.put(new Position(-priority, -arrivals++), new Item<>(item, cost));
    size++;
  }

  /** Takes the next item for which {@code servable} holds, in fair order. */
  public Optional<T> poll(Predicate<T> servable) {
    return poll(servable, passed -> {});
  }

  /**
   * Takes the next item for which {@code servable} holds, in fair order.
   *
   * @param passedOver told of each item whose turn it was but that could not be served, if another
   *     was served in its place
   */
  public Optional<T> poll(Predicate<T> servable, Consumer<T> passedOver) {
    List<T> passed = new ArrayList<>();
    List<Flow<T>> ordered = new ArrayList<>();
    for (Flow<T> l : flows.values()) {
      if (!l.items.isEmpty()) {
        ordered.add(l);
      }
    }
    ordered.sort((a, b) -> Double.compare(a.startTag, b.startTag));
    for (Flow<T> l : ordered) {
      Item<T> first = l.items.firstEntry().getValue();
      if (!servable.test(first.item)) {
        passed.add(first.item);
        continue;
      }
      l.items.pollFirstEntry();
      size--;
      virtualTime = Math.max(virtualTime, l.startTag);
      l.startTag += (double) first.cost / l.weight;
      passed.forEach(passedOver);
      return Optional.of(first.item);
    }
    return Optional.empty();
  }

  /**
   * Corrects what a workspace was charged; {@code cost} is negative if the estimate was high.
   *
   * <p>A credit never takes the workspace behind the present virtual time: saved up credits would
   * let it pass everyone who arrives meanwhile.
   */
  public void adjustCharge(String workspace, int cost) {
    Flow<T> lane = flows.get(workspace);
    if (lane != null) {
      double corrected = lane.startTag + (double) cost / lane.weight;
      lane.startTag = cost < 0 ? Math.max(corrected, Math.min(lane.startTag, virtualTime)) : corrected;
    }
  }

  /** Removes and returns every item for which {@code gone} holds. */
  public List<T> removeIf(Predicate<T> gone) {
    List<T> removed = new ArrayList<>();
    for (Flow<T> l : flows.values()) {
      Iterator<Item<T>> items = l.items.values().iterator();
      while (items.hasNext()) {
        Item<T> each = items.next();
        if (gone.test(each.item)) {
          items.remove();
          removed.add(each.item);
          size--;
        }
      }
    }
    return removed;
  }

  private Flow<T> flowOf(String workspace, int weight) {
    if (flows.size() >= FLOW_EVICTION_THRESHOLD) {
      flows.values().removeIf(l -> l.items.isEmpty() && l.startTag <= virtualTime);
    }
    Flow<T> lane = flows.computeIfAbsent(workspace, w -> new Flow<>());
    lane.weight = Math.max(1, weight);
    return lane;
  }

  private static final class Flow<T> {
    private final TreeMap<Position, Item<T>> items = new TreeMap<>();
    private double startTag;
    private int weight = 1;
  }

  private record Item<T>(T item, int cost) {}

  private record Position(int rank, long arrival) implements Comparable<Position> {
    @Override
    public int compareTo(Position o) {
      return rank != o.rank ? Integer.compare(rank, o.rank) : Long.compare(arrival, o.arrival);
    }
  }
}
