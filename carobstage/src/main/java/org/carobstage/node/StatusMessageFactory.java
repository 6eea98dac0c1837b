package org.carobstage.node;

import java.util.List;
import org.carobstage.group.Group;
import org.carobstage.group.GroupView;
import org.carobstage.group.GroupView.Observation;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.operator.StatusMessage;
import org.carobstage.operator.StatusMessage.GroupStatus;
import org.carobstage.operator.StatusMessage.InstanceStatus;
import org.carobstage.settings.Settings;

/** Puts the status of a process together. */
final class StatusMessageFactory {
    private static final int UNKNOWN = -1;

    private StatusMessageFactory() {}

    static StatusMessage of(Settings settings, Proxy proxy, boolean ready) {
        return new StatusMessage(
                settings.vm().id().value(),
                settings.vm().domain().value(),
                Version.current(),
                ready,
                proxy.groups().stream().map(StatusMessageFactory::group).toList(),
                List.of());
    }

    private static GroupStatus group(Group group) {
        GroupView view = group.view();
        return new GroupStatus(
                view.spec().id().value(),
                view.highestTerm().number(),
                view.primary().map(s -> s.instance().value()).orElse(""),
                view.spec().instances().stream().map(i -> instance(group, i)).toList());
    }

    private static InstanceStatus instance(Group group, InstanceSpec spec) {
        InstanceId id = spec.id();
        Observation seen = group.view().observations().get(id);
        return new InstanceStatus(
                id.value(),
                seen == null ? UNKNOWN : seen.status().promisedTerm().number(),
                seen == null ? UNKNOWN : seen.status().lastPosition().offset(),
                seen == null ? UNKNOWN : seen.status().lagMillis(),
                group.pool(id).quota().slots(),
                group.pool(id).quota().connections(),
                group.pool(id).outstandingCount());
    }
}
