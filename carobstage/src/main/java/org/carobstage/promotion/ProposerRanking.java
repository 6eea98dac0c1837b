package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Objects;
import java.util.function.Supplier;
import org.carobstage.model.GroupId;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;

/** Ranks the VMs that may propose a term, so that they do not all propose at once. */
@FunctionalInterface
public interface ProposerRanking {
    /**
     * Returns the rank of this VM, which is the number of VMs that propose before it.
     *
     * @param group the group
     * @param term the term to be replaced
     * @return the rank, 0 for the first
     */
    int rank(GroupId group, Term term);

    /**
     * Creates the ranking of a VM that is the only proposer.
     *
     * @return a ranking that always returns 0
     */
    static ProposerRanking singleProposer() {
        return (group, term) -> 0;
    }

    /**
     * Creates a ranking by a hash that differs between groups and between terms.
     *
     * @param self this VM
     * @param liveVms supplies the VMs that serve the group and are believed to be alive
     * @return the ranking
     */
    static ProposerRanking byHash(VmId self, Supplier<? extends Collection<VmId>> liveVms) {
        requireNonNull(self, "self is null");
        requireNonNull(liveVms, "liveVms is null");
        return (group, term) -> {
            int ownHash = hash(group, term, self);
            return (int)
                    liveVms.get().stream()
                            .filter(vm -> !vm.equals(self))
                            .filter(vm -> isBefore(hash(group, term, vm), vm, ownHash, self))
                            .count();
        };
    }

    private static boolean isBefore(int hash, VmId vm, int ownHash, VmId self) {
        return hash < ownHash || hash == ownHash && vm.compareTo(self) < 0;
    }

    private static int hash(GroupId group, Term term, VmId vm) {
        int mixed = Objects.hash(group.value(), term.number(), vm.value()) * 0x9E3779B9;
        return mixed ^ mixed >>> 15;
    }
}
