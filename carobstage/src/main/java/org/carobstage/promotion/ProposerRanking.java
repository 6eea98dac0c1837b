package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Objects;
import java.util.function.Supplier;
import org.carobstage.model.GroupId;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;

/** Orders the VMs that may propose a term, so that they do not all propose at once. */
@FunctionalInterface
public interface ProposerRanking {
    /**
     * Returns the rank of this VM; it lets as many others propose first.
     *
     * @param group the group
     * @param term the term to be replaced
     * @return the rank, 0 for the first
     */
    int rank(GroupId group, Term term);

    /**
     * Creates the order of a VM that knows no other.
     *
     * @return an order in which this VM is the first
     */
    static ProposerRanking singleProposer() {
        return (group, term) -> 0;
    }

    /**
     * Creates an order by a hash, which differs from group to group and from term to term.
     *
     * @param self this VM
     * @param live the VMs that serve the group and are believed to be alive
     * @return the order
     */
    static ProposerRanking byHash(VmId self, Supplier<? extends Collection<VmId>> live) {
        requireNonNull(self, "self is null");
        requireNonNull(live, "live is null");
        return (group, term) -> {
            int own = hash(group, term, self);
            return (int)
                    live.get().stream()
                            .filter(vm -> !vm.equals(self))
                            .filter(vm -> isBefore(hash(group, term, vm), vm, own, self))
                            .count();
        };
    }

    private static boolean isBefore(int hash, VmId vm, int own, VmId self) {
        return hash < own || hash == own && vm.compareTo(self) < 0;
    }

    private static int hash(GroupId group, Term term, VmId vm) {
        int mixed = Objects.hash(group.value(), term.number(), vm.value()) * 0x9E3779B9;
        return mixed ^ mixed >>> 15;
    }
}
